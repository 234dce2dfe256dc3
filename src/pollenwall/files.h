#pragma once

#include <optional>
#include <string>

#include <pollenwall/yaml_reader.h>

namespace pollenwall::tool {

/// The file's text; nothing, and a line on standard error, when it cannot be read.
std::optional<std::string> ReadFile(const std::string& aName);

/// Writes every problem to standard error. Returns whether there is one.
bool PrintProblems(const yaml::Report& aReport);

} // namespace pollenwall::tool
