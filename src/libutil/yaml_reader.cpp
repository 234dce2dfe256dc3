#include <pollenwall/yaml_reader.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>

namespace pollenwall::yaml {
namespace {

std::string KeyPath(const Section& aSection, std::string_view aKey)
{
  return aSection.mPath.empty() ? std::string(aKey) : aSection.mPath + "." + std::string(aKey);
}

int LineNumber(const YAML::Node& aNode)
{
  return aNode.IsDefined() && aNode.Mark().line >= 0 ? aNode.Mark().line + 1 : 0;
}

std::string Describe(const YAML::Node& aNode)
{
  if (!aNode.IsDefined()) {
    return "nothing";
  }
  if (aNode.IsScalar()) {
    return "'" + aNode.Scalar() + "'";
  }
  if (aNode.IsMap()) {
    return "a mapping";
  }
  return aNode.IsSequence() ? "a list" : "an empty value";
}

/// Looks up a key without inserting it. yaml-cpp's operator[] on a const node does the same, but
/// throws for some invalid nodes.
YAML::Node FindValue(const Section& aSection, std::string_view aKey)
{
  if (!aSection.mNode.IsDefined() || !aSection.mNode.IsMap()) {
    return YAML::Node(YAML::NodeType::Undefined);
  }
  for (const auto& pair : aSection.mNode) {
    if (pair.first.IsScalar() && pair.first.Scalar() == aKey) {
      return pair.second;
    }
  }
  return YAML::Node(YAML::NodeType::Undefined);
}

void AddProblemAt(const Section& aSection,
                  std::string_view aKey,
                  int aLine,
                  std::string aFound,
                  std::string aAllowed)
{
  aSection.mReport->mProblems.push_back({ aSection.mReport->mFile,
                                          aLine,
                                          KeyPath(aSection, aKey),
                                          std::move(aFound),
                                          std::move(aAllowed) });
}

/// Returns the scalar of a key. Reports a value of another type, or the absence of a required key.
std::optional<std::string> GetScalar(Section& aSection,
                                     std::string_view aKey,
                                     bool aRequired,
                                     const std::string& aAllowed)
{
  aSection.mKnownKeys.emplace(aKey);
  const auto node = FindValue(aSection, aKey);
  if (!node.IsDefined()) {
    if (aRequired) {
      AddProblemAt(aSection, aKey, LineNumber(aSection.mNode), "nothing", aAllowed);
    }
    return std::nullopt;
  }
  if (!node.IsScalar()) {
    AddProblemAt(aSection, aKey, LineNumber(node), Describe(node), aAllowed);
    return std::nullopt;
  }
  return node.Scalar();
}

template<typename Number>
Number GetRanged(Section& aSection,
                 std::string_view aKey,
                 Number aMin,
                 Number aMax,
                 std::optional<Number> aDefault,
                 const std::string& aAllowed)
{
  const auto text = GetScalar(aSection, aKey, !aDefault, aAllowed);
  if (!text) {
    return aDefault.value_or(aMin);
  }
  Number n{};
  const auto* last = text->data() + text->size();
  const auto [end, ec] = std::from_chars(text->data(), last, n);
  if (ec != std::errc() || end != last || !(n >= aMin && n <= aMax)) {
    AddProblem(aSection, aKey, "'" + *text + "'", aAllowed);
    return aDefault.value_or(aMin);
  }
  return n;
}

std::string DescribeRange(const std::string& aKind,
                          const std::string& aMin,
                          const std::string& aMax)
{
  return aKind + " from " + aMin + " to " + aMax;
}

std::string FormatNumber(double aNumber)
{
  char buf[40];
  std::snprintf(buf, sizeof buf, "%g", aNumber);
  return buf;
}

} // namespace

std::string ToString(const Problem& aProblem)
{
  return aProblem.mFile + ":" + std::to_string(aProblem.mLine) + ": " + aProblem.mKey + ": found " +
         aProblem.mFound + "; allowed: " + aProblem.mAllowed;
}

Section OpenDocument(Report& aReport, std::string_view aText)
{
  Section section;
  section.mReport = &aReport;
  try {
    const auto root = YAML::Load(std::string(aText));
    if (root.IsMap()) {
      section.mNode = root;
    } else {
      AddProblemAt(section, "document", std::max(1, LineNumber(root)), Describe(root), "a mapping");
    }
  } catch (const YAML::Exception& error) {
    const int line = error.mark.line >= 0 ? error.mark.line + 1 : 1;
    AddProblemAt(section, "document", line, error.msg, "well-formed YAML");
  }
  return section;
}

Section OpenNode(Report& aReport, const YAML::Node& aNode, std::string aPath)
{
  Section section;
  section.mReport = &aReport;
  section.mPath = std::move(aPath);
  if (aNode.IsDefined() && aNode.IsMap()) {
    section.mNode = aNode;
  } else {
    aReport.mProblems.push_back(
      { aReport.mFile, LineNumber(aNode), section.mPath, Describe(aNode), "a mapping" });
  }
  return section;
}

void CheckKeys(const Section& aSection)
{
  if (!aSection.mNode.IsDefined() || !aSection.mNode.IsMap()) {
    return;
  }
  std::string known;
  for (const auto& key : aSection.mKnownKeys) {
    known += (known.empty() ? "" : ", ") + key;
  }
  std::set<std::string> seen;
  for (const auto& pair : aSection.mNode) {
    const auto key = pair.first.IsScalar() ? pair.first.Scalar() : Describe(pair.first);
    if (!seen.insert(key).second) {
      AddProblemAt(aSection, key, LineNumber(pair.first), "the key twice", "each key once");
    }
    if (!aSection.mKnownKeys.contains(key)) {
      AddProblemAt(aSection, key, LineNumber(pair.first), "an unknown key", known);
    }
  }
}

bool Has(const Section& aSection, std::string_view aKey)
{
  return FindValue(aSection, aKey).IsDefined();
}

void AddProblem(const Section& aSection,
                std::string_view aKey,
                std::string aFound,
                std::string aAllowed)
{
  const auto node = FindValue(aSection, aKey);
  const int line = LineNumber(node.IsDefined() ? node : aSection.mNode);
  AddProblemAt(aSection, aKey, line, std::move(aFound), std::move(aAllowed));
}

std::string GetString(Section& aSection,
                      std::string_view aKey,
                      const std::optional<std::string>& aDefault)
{
  auto text = GetScalar(aSection, aKey, !aDefault, "a text");
  return text ? *text : aDefault.value_or("");
}

std::int64_t GetInteger(Section& aSection,
                        std::string_view aKey,
                        std::int64_t aMin,
                        std::int64_t aMax,
                        std::optional<std::int64_t> aDefault)
{
  const auto allowed = DescribeRange("an integer", std::to_string(aMin), std::to_string(aMax));
  return GetRanged(aSection, aKey, aMin, aMax, aDefault, allowed);
}

double GetNumber(Section& aSection,
                 std::string_view aKey,
                 double aMin,
                 double aMax,
                 std::optional<double> aDefault)
{
  const auto allowed = DescribeRange("a number", FormatNumber(aMin), FormatNumber(aMax));
  return GetRanged(aSection, aKey, aMin, aMax, aDefault, allowed);
}

bool GetBool(Section& aSection, std::string_view aKey, std::optional<bool> aDefault)
{
  const auto text = GetScalar(aSection, aKey, !aDefault, "true or false");
  if (!text) {
    return aDefault.value_or(false);
  }
  if (*text != "true" && *text != "false") {
    AddProblem(aSection, aKey, "'" + *text + "'", "true or false");
    return aDefault.value_or(false);
  }
  return *text == "true";
}

std::string GetChoice(Section& aSection,
                      std::string_view aKey,
                      const std::vector<std::string>& aChoices,
                      const std::optional<std::string>& aDefault)
{
  std::string allowed;
  for (const auto& choice : aChoices) {
    allowed += (allowed.empty() ? "" : ", ") + choice;
  }
  const auto text = GetScalar(aSection, aKey, !aDefault, allowed);
  auto fallback = aDefault.value_or(aChoices.empty() ? "" : aChoices.front());
  if (!text) {
    return fallback;
  }
  if (std::find(aChoices.begin(), aChoices.end(), *text) == aChoices.end()) {
    AddProblem(aSection, aKey, "'" + *text + "'", allowed);
    return fallback;
  }
  return *text;
}

std::vector<std::string> GetStrings(Section& aSection, std::string_view aKey)
{
  aSection.mKnownKeys.emplace(aKey);
  std::vector<std::string> values;
  const auto node = FindValue(aSection, aKey);
  if (!node.IsDefined()) {
    return values;
  }
  if (!node.IsSequence()) {
    AddProblem(aSection, aKey, Describe(node), "a list of texts");
    return values;
  }
  for (const auto& item : node) {
    if (!item.IsScalar()) {
      AddProblemAt(aSection, aKey, LineNumber(item), Describe(item), "a list of texts");
      continue;
    }
    values.push_back(item.Scalar());
  }
  return values;
}

Section GetSection(Section& aSection, std::string_view aKey)
{
  aSection.mKnownKeys.emplace(aKey);
  const auto node = FindValue(aSection, aKey);
  if (node.IsDefined()) {
    return OpenNode(*aSection.mReport, node, KeyPath(aSection, aKey));
  }
  Section section;
  section.mReport = aSection.mReport;
  section.mPath = KeyPath(aSection, aKey);
  return section;
}

std::vector<Section> GetSections(Section& aSection, std::string_view aKey)
{
  aSection.mKnownKeys.emplace(aKey);
  std::vector<Section> sections;
  const auto node = FindValue(aSection, aKey);
  if (!node.IsDefined()) {
    return sections;
  }
  if (!node.IsSequence()) {
    AddProblem(aSection, aKey, Describe(node), "a list of mappings");
    return sections;
  }
  for (std::size_t n = 0; n < node.size(); ++n) {
    const auto path = KeyPath(aSection, aKey) + "[" + std::to_string(n) + "]";
    sections.push_back(OpenNode(*aSection.mReport, node[n], path));
  }
  return sections;
}

} // namespace pollenwall::yaml
