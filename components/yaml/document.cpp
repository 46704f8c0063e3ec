#include "components/yaml/document.hpp"

#include <fstream>
#include <iterator>
#include <stdexcept>

namespace samphiresail::yaml {

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
  try {
    const std::vector<YAML::Node> documents = YAML::LoadAll(aText);
    if (documents.size() == 1) {
      return documents.front();
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
