# Reads a catalogue and prints, for each engine, its number, its models as a comma-separated
# list and their memory as NAME=BYTES arguments. Each model gets `copies` engines, the least
# filled first; an adapter goes where its base is.
function field(line, key,    text) {
  if (match(line, key ": [^,} ]+") == 0) return ""
  text = substr(line, RSTART, RLENGTH)
  sub(/^[^:]*: /, "", text)
  return text
}
/^[a-z_]+:/ { section = $1 }
/- \{ name:/ && (section == "models:" || section == "adapters:") {
  name = field($0, "name"); memory = field($0, "memory_mib"); base = field($0, "base")
  if (section == "models:") {
    for (c = 0; c < copies; c++) {
      best = -1
      for (e = 0; e < engines; e++)
        if (!((name, e) in held) && (best < 0 || used[e] < used[best])) best = e
      if (best >= 0 && used[best] + memory <= limit) place(name, best, memory)
    }
  } else {
    for (e = 0; e < engines; e++) if ((base, e) in held) place(name, e, memory)
  }
}
function place(name, e, memory) {
  held[name, e] = 1
  used[e] += memory
  models[e] = models[e] (models[e] == "" ? "" : ",") name
  sizes[e] = sizes[e] " --memory-of " name "=" sprintf("%.0f", memory * 1048576)
}
END { for (e = 0; e < engines; e++) print e, models[e], sizes[e] }
