#pragma once

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <yaml-cpp/yaml.h>

/// Validating YAML reader. All problems of a document are reported together, each with file, line,
/// key, the value found and the values allowed. After a problem, reading continues with the default
/// value.
namespace pollenwall::yaml {

/// One error in a document.
struct Problem
{
  std::string mFile;
  int mLine = 0;    ///< From 1; 0 when the problem has no position in the file.
  std::string mKey; ///< The path of the key, for example "listen.callers".
  std::string mFound;
  std::string mAllowed;

  friend bool operator==(const Problem&, const Problem&) = default;
};

/// "FILE:LINE: KEY: found FOUND; allowed: ALLOWED".
std::string ToString(const Problem& aProblem);

/// The problems of one document, in the order in which they were found.
struct Report
{
  std::string mFile;
  std::vector<Problem> mProblems;
};

/// A mapping that is being read. Each getter records its key as known; CheckKeys reports all
/// others.
struct Section
{
  Report* mReport = nullptr; ///< Not owned; must outlive the section.
  YAML::Node mNode;
  std::string mPath; ///< Empty for the document's root.
  std::set<std::string, std::less<>> mKnownKeys;
};

/// Parses a document whose root must be a mapping. On a syntax error or another kind of root, adds
/// a problem to the report and returns an empty section.
Section OpenDocument(Report& aReport, std::string_view aText);

/// Makes a section from a mapping node, for example an element of a list. Adds a problem if the
/// node is not a mapping.
Section OpenNode(Report& aReport, const YAML::Node& aNode, std::string aPath);

/// Reports keys that no getter has read, and duplicate keys.
void CheckKeys(const Section& aSection);

bool Has(const Section& aSection, std::string_view aKey);

/// Adds a problem at the position of the key.
void AddProblem(const Section& aSection,
                std::string_view aKey,
                std::string aFound,
                std::string aAllowed);

/// Each getter returns the default when the key is absent. A missing key without a default
/// (nullopt), a wrong type and a value out of range are problems.
std::string GetString(Section& aSection,
                      std::string_view aKey,
                      const std::optional<std::string>& aDefault = std::nullopt);
std::int64_t GetInteger(Section& aSection,
                        std::string_view aKey,
                        std::int64_t aMin,
                        std::int64_t aMax,
                        std::optional<std::int64_t> aDefault = std::nullopt);
double GetNumber(Section& aSection,
                 std::string_view aKey,
                 double aMin,
                 double aMax,
                 std::optional<double> aDefault = std::nullopt);
bool GetBool(Section& aSection, std::string_view aKey, std::optional<bool> aDefault = std::nullopt);

/// Returns one of the given choices.
std::string GetChoice(Section& aSection,
                      std::string_view aKey,
                      const std::vector<std::string>& aChoices,
                      const std::optional<std::string>& aDefault = std::nullopt);

/// Returns a list of scalars; empty when the key is absent.
std::vector<std::string> GetStrings(Section& aSection, std::string_view aKey);

/// Returns the nested mapping; an empty section when the key is absent.
Section GetSection(Section& aSection, std::string_view aKey);

/// Returns the mappings of a list; empty when the key is absent.
std::vector<Section> GetSections(Section& aSection, std::string_view aKey);

} // namespace pollenwall::yaml
