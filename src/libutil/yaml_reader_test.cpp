#include <pollenwall/yaml_reader.h>

#include <rapidcheck.h>

#include "util_test.h"

namespace pollenwall::test {
namespace {

using namespace pollenwall::yaml;

/// Guards against a reader that stops at the first problem, so that an operator has to fix them one
/// by one.
bool AllProblemsAreReportedAtOnce()
{
  Report report{ "entry.yaml", {} };
  auto root = OpenDocument(report, "port: 99999\nname: [a]\nprot: 1\nport: 1\n");
  GetInteger(root, "port", 1, 65535);
  GetString(root, "name");
  GetBool(root, "verbose");
  CheckKeys(root);
  bool passed = Expect(report.mProblems.size() == 5, "five problems");
  passed &= Expect(ToString(report.mProblems.at(0)) ==
                     "entry.yaml:1: port: found '99999'; allowed: an integer from 1 to 65535",
                   "range problem has file, line and key");
  passed &= Expect(report.mProblems.at(1).mLine == 2, "type problem has its line");
  passed &= Expect(report.mProblems.at(2).mKey == "verbose", "missing key");
  passed &= Expect(report.mProblems.at(3).mKey == "prot" && report.mProblems.at(3).mLine == 3,
                   "unknown key");
  passed &= Expect(report.mProblems.at(4).mFound == "the key twice", "duplicate key");
  return passed;
}

/// Guards against malformed text that crashes the process instead of being reported.
bool ArbitraryTextNeverThrows()
{
  return rc::check("arbitrary text is read or reported", [] {
    const auto text = *rc::gen::container<std::string>(rc::gen::element(
      'a', ':', ' ', '\n', '-', '[', ']', '{', '}', '"', '\t', '&', '*', '1', '.'));
    Report report{ "fuzz.yaml", {} };
    auto root = OpenDocument(report, text);
    GetInteger(root, "a", 0, 1, 0);
    for (auto& section : GetSections(root, "b")) {
      GetNumber(section, "c", 0, 1, 0.5);
      CheckKeys(section);
    }
    CheckKeys(root);
    for (const auto& problem : report.mProblems) {
      RC_ASSERT(!ToString(problem).empty());
    }
  });
}

} // namespace

bool YamlReaderTests()
{
  bool passed = AllProblemsAreReportedAtOnce();
  passed &= ArbitraryTextNeverThrows();
  return passed;
}

} // namespace pollenwall::test
