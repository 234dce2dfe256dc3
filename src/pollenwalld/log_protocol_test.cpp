#include <boost/json.hpp>
#include <rapidcheck.h>

#include "daemon_test.h"
#include "log_protocol.h"

namespace pollenwall::test {
namespace {

using namespace daemon;

/// Guards against a wrong answer of the log service that makes the reader skip records, read
/// records twice or assume a wrong end of the stream.
bool PagesAreChecked()
{
  const auto ok = [](const char* aBody) { return ParsePage(aBody, "configuration", 5).mOk; };
  const auto page =
    ParsePage(R"({"first":2,"next":7,"end":9,"records":[{"offset":5,"at_ms":1,"data":"a"},
      {"offset":6,"at_ms":2,"data":"b"}]})",
              "configuration",
              5);
  bool passed =
    Expect(page.mOk && page.mStream == "configuration" && page.mFirst == 2 && page.mNext == 7 &&
             !page.mAtEnd && page.mRecords.size() == 2 && page.mRecords[1].mOffset == 6 &&
             page.mRecords[1].mAtMs == 2 && page.mRecords[1].mData == "b",
           "a page is read");
  passed &= Expect(ParsePage(R"({"first":2,"next":7,"end":7,"records":[]})", "s", 5).mAtEnd,
                   "the end is recognised");
  passed &= Expect(
    !ParsePage(R"({"first":2,"next":6,"records":[{"offset":5,"at_ms":1,"data":""}]})", "s", 5)
       .mAtEnd,
    "without `end` a page with records does not show the end");
  passed &= Expect(!ok(R"({"first":0,"next":5,"records":[{"offset":4,"at_ms":1,"data":"a"}]})"),
                   "a record before the requested offset");
  passed &= Expect(!ok(R"({"first":8,"next":9,"records":[{"offset":7,"at_ms":1,"data":"a"}]})"),
                   "a record before the oldest retained one");
  passed &= Expect(!ok(R"({"first":0,"next":7,"records":[{"offset":6,"at_ms":1,"data":"a"},
      {"offset":5,"at_ms":1,"data":"a"}]})"),
                   "decreasing offsets");
  passed &= Expect(!ok(R"({"first":0,"next":9,"records":[{"offset":5,"at_ms":1,"data":"a"}]})"),
                   "a gap between the last record and `next`");
  passed &= Expect(!ok(R"({"first":0,"next":9,"end":8,"records":[]})"), "an end before next");
  passed &= Expect(!ok(R"({"first":0,"next":-1,"records":[]})"), "a negative offset");
  passed &= Expect(!ok(R"({"first":0,"next":6,"records":[{"offset":5,"at_ms":1}]})"), "no data");
  passed &= Expect(!ok("{}") && !ok("[]") && !ok("") && !ok("{\"first\":0,"), "not a page");
  return passed;
}

/// Guards against a damaged VM list that is accepted with live machines missing.
bool VmListsAreChecked()
{
  const auto list = ParseVmList(R"({"as_of_ms":5,"vms":[
      {"address":"10.0.0.1:80","data_centre":"north","role":"entry","state":"live"},
      {"address":"10.0.0.2","data_centre":"south","role":"worker","state":"leaving"}]})");
  bool passed = Expect(list.mOk && list.mAsOfMs == 5 && list.mVms.size() == 2 &&
                         list.mVms[0].mEntry && !list.mVms[0].mLeaving && !list.mVms[1].mEntry &&
                         list.mVms[1].mLeaving && list.mVms[1].mDataCentre == "south",
                       "a list is read");
  const auto bad = ParseVmList(R"({"as_of_ms":5,"vms":[
      {"address":"10.0.0.1:80","data_centre":"north","role":"entry","state":"live"},
      {"address":"10.0.0.2","data_centre":"south","role":"worker","state":"gone"}]})");
  passed &= Expect(!bad.mOk && bad.mVms.empty(), "one bad element makes the list invalid");
  passed &= Expect(!ParseVmList("{\"vms\":[]}").mOk, "the time is missing");
  return passed;
}

/// Guards against a decoder that crashes or accepts inconsistent offsets on untrusted input.
bool FuzzedAnswersAreDecodedOrRefused()
{
  return rc::check("mutated log pages and VM lists are decoded consistently or refused", [] {
    std::string text =
      R"({"first":2,"next":7,"end":9,"records":[{"offset":5,"at_ms":1,"data":"a"},)"
      R"({"offset":6,"at_ms":2,"data":"b"}],"as_of_ms":1,"vms":[]})";
    const int changes = *rc::gen::inRange(1, 8);
    for (int n = 0; n < changes && !text.empty(); ++n) {
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
      if (*rc::gen::inRange(0, 2) == 0) {
        text[at] = *rc::gen::element('{', '}', '[', ']', '"', ',', '0', '9', '-', 'e');
      } else {
        text.erase(at, *rc::gen::inRange<std::size_t>(1, 10));
      }
    }
    const auto page = ParsePage(text, "s", 5);
    if (page.mOk && !page.mRecords.empty()) {
      RC_ASSERT(page.mRecords.front().mOffset >= 5);
      RC_ASSERT(page.mNext == page.mRecords.back().mOffset + 1);
    }
    (void)ParseVmList(text);
  });
}

} // namespace

bool LogProtocolTests()
{
  bool passed = PagesAreChecked();
  passed &= VmListsAreChecked();
  passed &= FuzzedAnswersAreDecodedOrRefused();
  return passed;
}

} // namespace pollenwall::test
