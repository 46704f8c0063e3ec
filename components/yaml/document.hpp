#ifndef SAMPHIRESAIL_COMPONENTS_YAML_DOCUMENT_HPP
#define SAMPHIRESAIL_COMPONENTS_YAML_DOCUMENT_HPP

#include <string>

#include <yaml-cpp/yaml.h>

#include "components/findings/findings.hpp"

namespace samphiresail::yaml {

/// Reads a whole file. Throws std::runtime_error if it cannot be read.
std::string ReadFile(const std::string& aPath);

/// Parses one YAML document. A syntax error becomes a finding and an undefined node.
YAML::Node ParseDocument(const std::string& aText, findings::Findings& aFindings);

}

#endif
