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

/// Checked reading of YAML: every problem of a document is reported with file, line, key, what was
/// found and what is allowed, all at once. Reading goes on after a problem with the default value.
namespace pollenwall::yaml {

/// One fault of a document.
struct Problem
{
  std::string mFile;
  int mLine = 0;    ///< From 1; 0 when the fault has no place in the file.
  std::string mKey; ///< The path of the key, for example "listen.callers".
  std::string mFound;
  std::string mAllowed;

  friend bool operator==(const Problem&, const Problem&) = default;
};

/// "FILE:LINE: KEY: found FOUND; allowed: ALLOWED".
std::string ToString(const Problem& aProblem);

/// The problems of one document, in the order of reading.
struct Report
{
  std::string mFile;
  std::vector<Problem> mProblems;
};

/// A mapping being read. Each getter marks its key as known; Finish reports the others.
struct Section
{
  Report* mReport = nullptr; ///< Not owned; must outlive the section.
  YAML::Node mNode;
  std::string mPath; ///< Empty for the document's root.
  std::set<std::string, std::less<>> mKnown;
};

/// Parses a whole document whose root is a mapping. On a syntax error, or another kind of root, the
/// problem is added to the report and an empty section is returned.
Section OpenDocument(Report& aReport, std::string_view aText);

/// Makes a section of any mapping node, for example an element of a list. Adds a problem when it is
/// no mapping.
Section OpenNode(Report& aReport, const YAML::Node& aNode, std::string aPath);

/// Reports keys that no getter asked for, and keys given twice.
void Finish(const Section& aSection);

bool Has(const Section& aSection, std::string_view aKey);

/// Adds a problem at the key's place.
void AddProblem(const Section& aSection,
                std::string_view aKey,
                std::string aFound,
                std::string aAllowed);

/// Each getter returns the default when the key is absent. A missing key without a default
/// (nullopt) is a problem, as are a wrong type and a value out of range.
std::string GetString(Section& aSection,
                      std::string_view aKey,
                      const std::optional<std::string>& aDefault = std::nullopt);
std::int64_t GetInteger(Section& aSection,
                        std::string_view aKey,
                        std::int64_t aLeast,
                        std::int64_t aMost,
                        std::optional<std::int64_t> aDefault = std::nullopt);
double GetNumber(Section& aSection,
                 std::string_view aKey,
                 double aLeast,
                 double aMost,
                 std::optional<double> aDefault = std::nullopt);
bool GetBool(Section& aSection, std::string_view aKey, std::optional<bool> aDefault = std::nullopt);

/// One of the given words.
std::string GetChoice(Section& aSection,
                      std::string_view aKey,
                      const std::vector<std::string>& aChoices,
                      const std::optional<std::string>& aDefault = std::nullopt);

/// A list of scalars; empty when absent.
std::vector<std::string> GetStrings(Section& aSection, std::string_view aKey);

/// The nested mapping of the key; an empty section when absent.
Section GetSection(Section& aSection, std::string_view aKey);

/// The nested mappings of a list; empty when absent.
std::vector<Section> GetSections(Section& aSection, std::string_view aKey);

} // namespace pollenwall::yaml
