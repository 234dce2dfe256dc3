#include <pollenwall/yaml_reader.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>

namespace pollenwall::yaml {
namespace {

std::string PathOf(const Section& aSection, std::string_view aKey)
{
  return aSection.mPath.empty() ? std::string(aKey) : aSection.mPath + "." + std::string(aKey);
}

int LineOf(const YAML::Node& aNode)
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

/// Looks a key up without inserting it. yaml-cpp's operator[] on a const node does the same but
/// throws on some invalid nodes.
YAML::Node Find(const Section& aSection, std::string_view aKey)
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

void AddAt(const Section& aSection,
           std::string_view aKey,
           int aLine,
           std::string aFound,
           std::string aAllowed)
{
  aSection.mReport->mProblems.push_back({ aSection.mReport->mFile,
                                          aLine,
                                          PathOf(aSection, aKey),
                                          std::move(aFound),
                                          std::move(aAllowed) });
}

/// Returns the scalar of a key. Reports another type, or a key that is absent and has no default.
std::optional<std::string> Scalar(Section& aSection,
                                  std::string_view aKey,
                                  bool aRequired,
                                  const std::string& aAllowed)
{
  aSection.mKnown.emplace(aKey);
  const auto node = Find(aSection, aKey);
  if (!node.IsDefined()) {
    if (aRequired) {
      AddAt(aSection, aKey, LineOf(aSection.mNode), "nothing", aAllowed);
    }
    return std::nullopt;
  }
  if (!node.IsScalar()) {
    AddAt(aSection, aKey, LineOf(node), Describe(node), aAllowed);
    return std::nullopt;
  }
  return node.Scalar();
}

template<typename Number>
Number GetRanged(Section& aSection,
                 std::string_view aKey,
                 Number aLeast,
                 Number aMost,
                 std::optional<Number> aDefault,
                 const std::string& aAllowed)
{
  const auto text = Scalar(aSection, aKey, !aDefault, aAllowed);
  if (!text) {
    return aDefault.value_or(aLeast);
  }
  Number n{};
  const auto* last = text->data() + text->size();
  const auto [end, ec] = std::from_chars(text->data(), last, n);
  if (ec != std::errc() || end != last || !(n >= aLeast && n <= aMost)) {
    AddProblem(aSection, aKey, "'" + *text + "'", aAllowed);
    return aDefault.value_or(aLeast);
  }
  return n;
}

std::string RangeText(const std::string& aKind, const std::string& aLeast, const std::string& aMost)
{
  return aKind + " from " + aLeast + " to " + aMost;
}

std::string Shorten(double aNumber)
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
      AddAt(section, "document", std::max(1, LineOf(root)), Describe(root), "a mapping");
    }
  } catch (const YAML::Exception& error) {
    const int line = error.mark.line >= 0 ? error.mark.line + 1 : 1;
    AddAt(section, "document", line, error.msg, "well-formed YAML");
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
      { aReport.mFile, LineOf(aNode), section.mPath, Describe(aNode), "a mapping" });
  }
  return section;
}

void Finish(const Section& aSection)
{
  if (!aSection.mNode.IsDefined() || !aSection.mNode.IsMap()) {
    return;
  }
  std::string known;
  for (const auto& key : aSection.mKnown) {
    known += (known.empty() ? "" : ", ") + key;
  }
  std::set<std::string> seen;
  for (const auto& pair : aSection.mNode) {
    const auto key = pair.first.IsScalar() ? pair.first.Scalar() : Describe(pair.first);
    if (!seen.insert(key).second) {
      AddAt(aSection, key, LineOf(pair.first), "the key twice", "each key once");
    }
    if (!aSection.mKnown.contains(key)) {
      AddAt(aSection, key, LineOf(pair.first), "an unknown key", known);
    }
  }
}

bool Has(const Section& aSection, std::string_view aKey)
{
  return Find(aSection, aKey).IsDefined();
}

void AddProblem(const Section& aSection,
                std::string_view aKey,
                std::string aFound,
                std::string aAllowed)
{
  const auto node = Find(aSection, aKey);
  const int line = LineOf(node.IsDefined() ? node : aSection.mNode);
  AddAt(aSection, aKey, line, std::move(aFound), std::move(aAllowed));
}

std::string GetString(Section& aSection,
                      std::string_view aKey,
                      const std::optional<std::string>& aDefault)
{
  auto text = Scalar(aSection, aKey, !aDefault, "a text");
  return text ? *text : aDefault.value_or("");
}

std::int64_t GetInteger(Section& aSection,
                        std::string_view aKey,
                        std::int64_t aLeast,
                        std::int64_t aMost,
                        std::optional<std::int64_t> aDefault)
{
  const auto allowed = RangeText("an integer", std::to_string(aLeast), std::to_string(aMost));
  return GetRanged(aSection, aKey, aLeast, aMost, aDefault, allowed);
}

double GetNumber(Section& aSection,
                 std::string_view aKey,
                 double aLeast,
                 double aMost,
                 std::optional<double> aDefault)
{
  const auto allowed = RangeText("a number", Shorten(aLeast), Shorten(aMost));
  return GetRanged(aSection, aKey, aLeast, aMost, aDefault, allowed);
}

bool GetBool(Section& aSection, std::string_view aKey, std::optional<bool> aDefault)
{
  const auto text = Scalar(aSection, aKey, !aDefault, "true or false");
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
  const auto text = Scalar(aSection, aKey, !aDefault, allowed);
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
  aSection.mKnown.emplace(aKey);
  std::vector<std::string> values;
  const auto node = Find(aSection, aKey);
  if (!node.IsDefined()) {
    return values;
  }
  if (!node.IsSequence()) {
    AddProblem(aSection, aKey, Describe(node), "a list of texts");
    return values;
  }
  for (const auto& item : node) {
    if (!item.IsScalar()) {
      AddAt(aSection, aKey, LineOf(item), Describe(item), "a list of texts");
      continue;
    }
    values.push_back(item.Scalar());
  }
  return values;
}

Section GetSection(Section& aSection, std::string_view aKey)
{
  aSection.mKnown.emplace(aKey);
  const auto node = Find(aSection, aKey);
  if (node.IsDefined()) {
    return OpenNode(*aSection.mReport, node, PathOf(aSection, aKey));
  }
  Section section;
  section.mReport = aSection.mReport;
  section.mPath = PathOf(aSection, aKey);
  return section;
}

std::vector<Section> GetSections(Section& aSection, std::string_view aKey)
{
  aSection.mKnown.emplace(aKey);
  std::vector<Section> sections;
  const auto node = Find(aSection, aKey);
  if (!node.IsDefined()) {
    return sections;
  }
  if (!node.IsSequence()) {
    AddProblem(aSection, aKey, Describe(node), "a list of mappings");
    return sections;
  }
  for (std::size_t n = 0; n < node.size(); ++n) {
    const auto path = PathOf(aSection, aKey) + "[" + std::to_string(n) + "]";
    sections.push_back(OpenNode(*aSection.mReport, node[n], path));
  }
  return sections;
}

} // namespace pollenwall::yaml
