#include "components/yaml/document.hpp"

#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/parser.h>

#include <nlohmann/json.hpp>

namespace samphiresail::yaml {

namespace {

/// Takes the events of the parser and does nothing with them.
class IgnoringHandler final : public YAML::EventHandler
{
public:
  void OnDocumentStart(const YAML::Mark&) override {}
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark&, YAML::anchor_t) override {}
  void OnAlias(const YAML::Mark&, YAML::anchor_t) override {}
  void OnScalar(const YAML::Mark&,
                const std::string&,
                YAML::anchor_t,
                const std::string&) override
  {
  }
  void OnSequenceStart(const YAML::Mark&,
                       const std::string&,
                       YAML::anchor_t,
                       YAML::EmitterStyle::value) override
  {
  }
  void OnSequenceEnd() override {}
  void OnMapStart(const YAML::Mark&,
                  const std::string&,
                  YAML::anchor_t,
                  YAML::EmitterStyle::value) override
  {
  }
  void OnMapEnd() override {}
};

/// Stops at the second document: for some malformed text the parser reports documents
/// without end.
bool HasOneDocument(const std::string& aText)
{
  std::istringstream stream(aText);
  YAML::Parser parser(stream);
  IgnoringHandler handler;
  return parser.HandleNextDocument(handler) && !parser.HandleNextDocument(handler);
}

/// Judges as the encoder of the store's records does, which refuses any other text.
bool IsUtf8(const std::string& aText)
{
  try {
    static_cast<void>(nlohmann::json(aText).dump());
    return true;
  } catch (const nlohmann::json::type_error&) {
    return false;
  }
}

/// Adds a finding for each line that is not UTF-8; returns true if there is none.
bool CheckUtf8(const std::string& aText, findings::Findings& aFindings)
{
  bool valid = true;
  std::istringstream lines(aText);
  int number = 0;
  for (std::string line; std::getline(lines, line);) {
    ++number;
    if (!IsUtf8(line)) {
      aFindings.Add(number, 1, "the line is not valid UTF-8");
      valid = false;
    }
  }
  return valid;
}

}

std::string ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::string text{ std::istreambuf_iterator<char>(file), {} };
  if (!file.is_open() || file.bad()) {
    throw std::runtime_error("cannot read '" + aPath + "'");
  }
  return text;
}

YAML::Node ParseDocument(const std::string& aText, findings::Findings& aFindings)
{
  if (!CheckUtf8(aText, aFindings)) {
    return YAML::Node(YAML::NodeType::Undefined);
  }
  try {
    if (HasOneDocument(aText)) {
      return YAML::Load(aText);
    }
    aFindings.Add(1, 1, "the file must hold exactly one document");
  } catch (const YAML::Exception& error) {
    const bool known = !error.mark.is_null();
    aFindings.Add(
      known ? error.mark.line + 1 : 1, known ? error.mark.column + 1 : 1, error.msg);
  }
  return YAML::Node(YAML::NodeType::Undefined);
}

}
