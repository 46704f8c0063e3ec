#ifndef SAMPHIRESAIL_COMPONENTS_CATALOGUE_CONFIGURATIONCODEC_HPP
#define SAMPHIRESAIL_COMPONENTS_CATALOGUE_CONFIGURATIONCODEC_HPP

#include <stdexcept>
#include <string>
#include <string_view>

#include "components/catalogue/catalogue.hpp"

namespace samphiresail::catalogue {

/// Thrown for a configuration record that cannot be read.
class ConfigurationError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// Writes the record for the platform's store as a JSON document.
std::string EncodeConfiguration(const Configuration& aConfiguration);

/// Reads a record of the platform's store. Throws ConfigurationError.
Configuration DecodeConfiguration(std::string_view aText);

/// Returns the name of a class as written in the catalogue.
std::string_view ClassName(RequestClass aClass);

/// Reads the name of a class; throws ConfigurationError for an unknown one.
RequestClass ParseClass(std::string_view aName);

}

#endif
