#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <pollenwall/configuration.h>
#include <pollenwall/yaml_reader.h>

/// The YAML forms of a configuration: a small mapping for each item in log records, and one
/// document for operators' files. Both are validated by the same checks.
namespace pollenwall::configuration {

using Item = std::variant<DataCentre, Worker, Service, Upstream, Team>;

/// "data_centre/N", "worker/N", "service/N", "upstream/SERVICE/WORKER" or "team/N".
std::string KeyOf(const Item& aItem);

/// Whether the text is a valid name: 1 to 64 characters of [A-Za-z0-9._-].
bool IsName(std::string_view aText);

/// The item's value: a YAML flow mapping on one line, without the names that are in its key.
std::string PrintItem(const Item& aItem);

/// Parses a value made by PrintItem or written by hand. Absent fields take their defaults. Adds
/// every unknown key, wrong type and value out of range to the report and then returns nothing.
/// References to other items are not checked here.
std::optional<Item> ParseItem(yaml::Report& aReport, std::string_view aKey, std::string_view aText);

/// All items, in key order within each kind.
std::vector<Item> ItemsOf(const Configuration& aConfiguration);

/// The item of a key; nothing when there is none.
std::optional<Item> FindItem(const Configuration& aConfiguration, std::string_view aKey);

void PutItem(Configuration& aConfiguration, Item aItem);
void DeleteItem(Configuration& aConfiguration, std::string_view aKey);

/// The whole configuration as one document with the lists data_centres, workers, services,
/// upstreams and teams. The version is not included.
std::string PrintDocument(const Configuration& aConfiguration);

/// Parses a document. Adds every problem to the report: invalid items, items given twice, unknown
/// references, and two upstreams with the same address and port. The result is complete only when
/// there is no problem.
Configuration ParseDocument(yaml::Report& aReport, std::string_view aText);

} // namespace pollenwall::configuration
