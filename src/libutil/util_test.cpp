#include <pollenwall/hash.h>
#include <pollenwall/ids.h>
#include <pollenwall/log.h>
#include <pollenwall/metrics.h>
#include <pollenwall/verdict.h>

#include <map>

#include <boost/json.hpp>
#include <rapidcheck.h>

#include "util_test.h"

using namespace pollenwall;

namespace {

/// Guards against an id whose text form parses to another id, so that a peer's or caller's request
/// is routed to another entry.
bool IdsRoundTrip()
{
  return rc::check("ids are the same after formatting and parsing", [] {
    const auto value = *rc::gen::arbitrary<std::uint64_t>();
    const auto sequence = *rc::gen::arbitrary<std::uint64_t>();
    const auto name = *rc::gen::element<std::string>("north", "gold-coast", "a-b-c", "x1");
    const MintedId minted{ name, Incarnation{ value }, sequence };
    RC_ASSERT(ParseMintedId(ToString(minted)) == minted);
    const CallerId caller{ name, std::to_string(sequence) };
    RC_ASSERT(ParseCallerId(ToString(caller)) == caller);
    RC_ASSERT(!ParseCallerId(ToString(minted)));
    RC_ASSERT(!ParseMintedId(ToString(caller)));
    const TaskId task{ ToString(minted), static_cast<std::uint32_t>(sequence) };
    RC_ASSERT(ParseTaskId(ToString(task)) == task);
  });
}

/// Guards against a parser that reads past its input or accepts a malformed id.
bool ArbitraryTextIsNoId()
{
  return rc::check("arbitrary text never crashes the id parsers", [] {
    const auto text = *rc::gen::arbitrary<std::string>();
    if (const auto id = ParseMintedId(text)) {
      RC_ASSERT(ToString(*id).size() <= text.size() + 20);
    }
    if (const auto id = ParseCallerId(text)) {
      RC_ASSERT(ToString(*id) == text);
    }
    (void)ParseTaskId(text);
  });
}

/// Guards against keys that move between two remaining nodes when a third one is removed.
bool RemovingANodeMovesOnlyItsKeys()
{
  return rc::check("rendezvous hashing moves only the keys of the removed node", [] {
    const auto nodes = *rc::gen::suchThat(
      rc::gen::unique<std::vector<std::uint64_t>>(rc::gen::arbitrary<std::uint64_t>()),
      [](const auto& aNodes) { return aNodes.size() >= 2; });
    const auto key = std::to_string(*rc::gen::arbitrary<int>());
    const auto owner = [&key](const std::vector<std::uint64_t>& aNodes) {
      return *std::max_element(aNodes.begin(), aNodes.end(), [&key](auto aOne, auto aOther) {
        return RendezvousWeight(key, aOne) < RendezvousWeight(key, aOther);
      });
    };
    auto fewer = nodes;
    fewer.pop_back();
    if (owner(nodes) != nodes.back()) {
      RC_ASSERT(owner(fewer) == owner(nodes));
    }
  });
}

/// Guards against a code or verdict that has no text form and would reach callers as "internal".
bool CodesRoundTrip()
{
  bool passed = true;
  for (int n = 0; n <= static_cast<int>(ErrorCode::Internal); ++n) {
    const auto code = static_cast<ErrorCode>(n);
    passed &= test::Expect(ParseErrorCode(ToString(code)) == code, "every code has its own text");
  }
  for (const auto verdict : { Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran }) {
    passed &= test::Expect(ParseVerdict(ToString(verdict)) == verdict, "every verdict has a text");
  }
  passed &= test::Expect(Combine(Verdict::NotRun, Verdict::MayHaveRun) == Verdict::MayHaveRun,
                         "a part that may have run means that the whole may have run");
  return passed;
}

/// Guards against logs that grow with the load, that drop warnings before info lines, or that keep
/// the lines of different jobs in different processes.
bool LogLinesAreRateLimited()
{
  log::RateLimiter limiter;
  log::RateLimiter other;
  std::size_t same = 0;
  std::size_t kept = 0;
  for (int n = 0; n < 5000; ++n) {
    const auto job = "job" + std::to_string(n);
    const bool here = log::Admit(limiter, 1, log::Level::Info, job);
    const bool there = log::Admit(other, 1, log::Level::Info, job);
    same += here == there ? 1 : 0;
    kept += here ? 1 : 0;
  }
  bool ok = kept == limiter.mLimits.mMaxInfoLines && same == 5000;
  std::size_t warnings = 0;
  for (int n = 0; n < 5000; ++n) {
    warnings += log::Admit(limiter, 1, log::Level::Warning, "x") ? 1 : 0;
  }
  ok = ok && warnings == limiter.mLimits.mMaxLines - limiter.mLimits.mMaxInfoLines;
  ok = ok && log::TakeDropped(limiter) == 10000 - kept - warnings && log::TakeDropped(limiter) == 0;
  return ok && log::Admit(limiter, 2, log::Level::Info, "x");
}

/// Guards against log lines that a log collector cannot parse, for example because of quotes or
/// line breaks in a field.
bool LogLinesAreJson()
{
  return rc::check("every log line is one JSON object", [] {
    const auto text = *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
    const auto line = log::FormatEvent("info", "job_refused", { { "message", text } });
    RC_ASSERT(line.find('\n') == std::string::npos);
    const auto value = boost::json::parse(line);
    RC_ASSERT(value.at("message").as_string() == text);
  });
}

/// Returns the value on the line of the series, or nullopt if the text has none.
std::optional<double> SeriesValue(const std::string& aText, const std::string& aSeries)
{
  const auto at = aText.find("\n" + aSeries + " ");
  return at == std::string::npos ? std::nullopt
                                 : std::optional(std::stod(aText.substr(at + aSeries.size() + 2)));
}

/// Guards against histogram buckets that are not cumulative, which scrapers reject, and against
/// changed bucket bounds.
bool HistogramTextIsCumulative()
{
  metrics::Registry registry;
  metrics::Observe(registry, "job_seconds{service=\"a\"}", 0.001);
  metrics::Observe(registry, "job_seconds{service=\"a\"}", 1000);
  metrics::Add(registry, "jobs_total", 2);
  const auto text = "\n" + metrics::ToText(registry);
  const std::string buckets = "pollenwall_job_seconds_bucket{service=\"a\",le=\"";
  bool passed =
    test::Expect(SeriesValue(text, buckets + "+Inf\"}") == 2, "the +Inf bucket counts all values");
  passed &= test::Expect(SeriesValue(text, buckets + "0.0008\"}") == 0,
                         "a bucket below the value counts nothing");
  passed &= test::Expect(SeriesValue(text, buckets + "0.0016\"}") == 1,
                         "a bucket counts all smaller values");
  passed &= test::Expect(SeriesValue(text, "pollenwall_jobs_total") == 2, "counter");
  passed &=
    test::Expect(metrics::CounterValue(registry, "jobs_total") == 2, "the value of a counter");
  return passed;
}

/// Guards against metrics whose series are not grouped by name, or whose type line is repeated,
/// which scrapers reject.
bool SeriesOfOneNameAreGrouped()
{
  const metrics::Registry registry;
  metrics::Readings readings;
  readings.mCounters = { { "moves_total{reason=\"slow\"}", 1 },
                         { "others_total", 5 },
                         { "moves_total{reason=\"stalled\"}", 2 } };
  readings.mGauges = { { "age_seconds", 0.5 } };
  const auto text = "\n" + metrics::ToText(registry, readings);
  const auto type = text.find("# TYPE pollenwall_moves_total counter");
  bool passed = test::Expect(type != std::string::npos && text.find("# TYPE pollenwall_moves_total",
                                                                    type + 1) == std::string::npos,
                             "one type line");
  passed &= test::Expect(SeriesValue(text, "pollenwall_moves_total{reason=\"slow\"}") == 1 &&
                           SeriesValue(text, "pollenwall_moves_total{reason=\"stalled\"}") == 2 &&
                           SeriesValue(text, "pollenwall_others_total") == 5 &&
                           SeriesValue(text, "pollenwall_age_seconds") == 0.5,
                         "all values are present");
  return passed;
}

} // namespace

int main()
{
  bool passed = IdsRoundTrip();
  passed &= ArbitraryTextIsNoId();
  passed &= RemovingANodeMovesOnlyItsKeys();
  passed &= CodesRoundTrip();
  passed &= LogLinesAreJson();
  passed &= LogLinesAreRateLimited();
  passed &= HistogramTextIsCumulative();
  passed &= SeriesOfOneNameAreGrouped();
  passed &= test::YamlReaderTests();
  return passed ? 0 : 1;
}
