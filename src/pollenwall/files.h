#pragma once

#include <optional>
#include <string>

#include <pollenwall/yaml_reader.h>

namespace pollenwall::tool {

/// Returns the file's text. When it can't be read, prints an error and returns nothing.
std::optional<std::string> ReadFile(const std::string& aName);

/// Prints every problem to standard error. Returns whether there are any.
bool PrintProblems(const yaml::Report& aReport);

} // namespace pollenwall::tool
