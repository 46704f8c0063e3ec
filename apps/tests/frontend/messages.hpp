#ifndef SAMPHIRESAIL_APPS_TESTS_FRONTEND_MESSAGES_HPP
#define SAMPHIRESAIL_APPS_TESTS_FRONTEND_MESSAGES_HPP

#include <sstream>
#include <string>

namespace samphiresail::frontend::testing {

/// Version and headers of each request; its identifier is r1.
inline constexpr const char* kCommon =
  " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: r1\r\nApi-Key: secret\r\n";

/// Request without a body, with further header lines that each end in CRLF.
inline std::string Get(const std::string& aPath, const std::string& aExtra = {})
{
  return "GET " + aPath + kCommon + aExtra + "\r\n";
}

/// Request with a body.
inline std::string Post(const std::string& aPath)
{
  return "POST " + aPath + kCommon + "Content-Length: 4\r\n\r\nbody";
}

/// Request with a body of the size, in bytes.
inline std::string Upload(const std::string& aPath, std::size_t aSize)
{
  return "POST " + aPath + kCommon + "Content-Length: " + std::to_string(aSize) +
         "\r\n\r\n" + std::string(aSize, 'x');
}

/// Request with a body whose prompt has the parts, written as ID:TOKENS,ID:TOKENS.
inline std::string PostWithParts(const std::string& aPath, const std::string& aParts)
{
  return "POST " + aPath + kCommon + "Prompt-Prefix: " + aParts +
         "\r\nContent-Length: 4\r\n\r\nbody";
}

/// True if the text holds a head with a length and a body of that length.
inline bool HasHeadAndBody(const std::string& aText)
{
  const std::size_t head = aText.find("\r\n\r\n");
  if (head == std::string::npos) {
    return false;
  }
  const std::size_t length = aText.find("Content-Length: ");
  return length != std::string::npos &&
         aText.size() >= head + 4 + std::stoul(aText.substr(length + 16));
}

/// True if the text ends as a whole stream does.
inline bool HasLastChunk(const std::string& aText)
{
  return aText.ends_with("0\r\n\r\n");
}

/// True if the text is a whole response of either kind.
inline bool EndsCall(const std::string& aText)
{
  return HasHeadAndBody(aText) || HasLastChunk(aText);
}

/// True if the part stands anywhere in the text.
inline bool Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

/// Head of a successful stream in chunks.
inline std::string StreamHead()
{
  return "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nResponse-Seal: s\r\n"
         "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

/// Bytes as one chunk of a chunked body.
inline std::string Chunk(const std::string& aBytes)
{
  std::ostringstream text;
  text << std::hex << aBytes.size() << "\r\n" << aBytes << "\r\n";
  return text.str();
}

}

#endif
