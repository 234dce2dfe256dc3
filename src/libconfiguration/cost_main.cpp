// Measures the configuration's heap memory per item and the time to apply records. Prints one JSON
// object a line.

#include <pollenwall/configuration_log.h>
#include <pollenwall/configuration_yaml.h>

#include <chrono>
#include <functional>
#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/json.hpp>

#include <malloc.h>

ABSL_FLAG(std::uint32_t, data_centres, 6, "data centres of the configuration");
ABSL_FLAG(std::uint32_t, workers, 1500, "workers of the configuration");
ABSL_FLAG(std::uint32_t, services, 3000, "services of the configuration");
ABSL_FLAG(std::uint32_t, upstreams_per_worker, 3, "upstreams of each worker");
ABSL_FLAG(std::uint32_t, teams, 150, "teams of the configuration");
ABSL_FLAG(std::uint32_t, repeats, 200, "changes applied for each figure");

namespace {

using namespace pollenwall;
using namespace pollenwall::configuration;

struct Size
{
  std::uint32_t mDataCentres = 0;
  std::uint32_t mWorkers = 0;
  std::uint32_t mServices = 0;
  std::uint32_t mUpstreamsPerWorker = 0;
  std::uint32_t mTeams = 0;
};

std::string Name(std::string_view aPrefix, std::uint32_t aNumber)
{
  return std::string(aPrefix) + std::to_string(100000 + aNumber);
}

Configuration MakeConfiguration(const Size& aSize)
{
  Configuration made;
  for (std::uint32_t n = 0; n < aSize.mDataCentres; ++n) {
    PutItem(made, DataCentre{ Name("data-centre-", n), "region-one" });
  }
  for (std::uint32_t n = 0; n < aSize.mServices; ++n) {
    PutItem(made, Service{ Name("service-", n), { "short-kind", "long-kind", "other-kind" } });
  }
  for (std::uint32_t n = 0; n < aSize.mTeams; ++n) {
    PutItem(made, Team{ Name("team-", n) });
  }
  for (std::uint32_t n = 0; n < aSize.mWorkers; ++n) {
    const auto worker = Name("data-centre-worker-", n);
    PutItem(made,
            Worker{ worker,
                    Name("data-centre-", n % aSize.mDataCentres),
                    Name("data-centre-rack-", n / 8),
                    "10.1." + std::to_string(n / 250) + "." + std::to_string(n % 250 + 1),
                    64,
                    128'000'000'000,
                    2 });
    for (std::uint32_t k = 0; k < aSize.mUpstreamsPerWorker; ++k) {
      PutItem(made,
              Upstream{ Name("service-", (n * aSize.mUpstreamsPerWorker + k) % aSize.mServices),
                        worker,
                        static_cast<std::uint16_t>(9000 + k) });
    }
  }
  return made;
}

ConfigurationLog MakeLog(const Size& aSize)
{
  ConfigurationLog log;
  const auto made = MakeConfiguration(aSize);
  if (!made.mTeams.empty() || !made.mWorkers.empty() || !made.mServices.empty()) {
    ApplyRecord(log, 0, 1, ChangeRecord(MakeChange(*log.mConfiguration, made, "first")));
  }
  return log;
}

std::size_t HeapBytes()
{
  return mallinfo2().uordblks;
}

/// Heap bytes of a ConfigurationLog with a configuration of the given size.
double HeapBytesOf(const Size& aSize)
{
  const auto before = HeapBytes();
  const auto log = MakeLog(aSize);
  return static_cast<double>(HeapBytes()) - static_cast<double>(before);
}

double MeanMilliseconds(std::uint32_t aRepeats, const std::function<void(std::uint32_t)>& aAction)
{
  const auto start = std::chrono::steady_clock::now();
  for (std::uint32_t n = 0; n < aRepeats; ++n) {
    aAction(n);
  }
  const std::chrono::duration<double, std::milli> spent = std::chrono::steady_clock::now() - start;
  return spent.count() / aRepeats;
}

void Print(const boost::json::object& aLine)
{
  std::cout << boost::json::serialize(aLine) << "\n";
}

/// Mean time to apply a change of aItems workers. With aHeld the previous version is shared, so
/// that the configuration is copied.
double ApplyMilliseconds(const Size& aSize,
                         std::uint32_t aItems,
                         bool aHeld,
                         std::uint32_t aRepeats)
{
  auto log = MakeLog(aSize);
  std::vector<std::string> records;
  auto wanted = *log.mConfiguration;
  for (std::uint32_t n = 0; n < aRepeats; ++n) {
    const auto before = wanted;
    for (std::uint32_t k = 0; k < aItems; ++k) {
      wanted.mWorkers.at(Name("data-centre-worker-", (n * aItems + k) % aSize.mWorkers))
        .mMilliCores = 100 + n;
    }
    records.push_back(ChangeRecord(MakeChange(before, wanted, "change-" + std::to_string(n))));
    ++wanted.mVersion;
  }
  auto holder = log.mConfiguration;
  const auto mean = MeanMilliseconds(aRepeats, [&](std::uint32_t aNumber) {
    holder = aHeld ? log.mConfiguration : nullptr;
    ApplyRecord(log, aNumber + 1, 2, records[aNumber]);
  });
  if (VersionOf(log) != aRepeats + 1) {
    std::cerr << "a change was not accepted\n";
  }
  return mean;
}

void MeasureMemory(const Size& aSize)
{
  const auto slope = [&aSize](const std::function<void(Size&)>& aDouble, std::uint32_t aCount) {
    auto larger = aSize;
    aDouble(larger);
    return aCount == 0 ? 0 : (HeapBytesOf(larger) - HeapBytesOf(aSize)) / aCount;
  };
  const auto upstreams = aSize.mWorkers * aSize.mUpstreamsPerWorker;
  const auto upstream = slope([](Size& aIt) { aIt.mUpstreamsPerWorker *= 2; }, upstreams);
  const auto worker = slope([](Size& aIt) { aIt.mWorkers *= 2; }, aSize.mWorkers);
  Print({ { "measure", "heap_bytes" },
          { "whole", HeapBytesOf(aSize) },
          { "per_upstream", upstream },
          { "per_worker_alone", worker - upstream * aSize.mUpstreamsPerWorker },
          { "per_service", slope([](Size& aIt) { aIt.mServices *= 2; }, aSize.mServices) },
          { "per_team", slope([](Size& aIt) { aIt.mTeams *= 2; }, aSize.mTeams) } });
}

void MeasureApply(const Size& aSize, std::uint32_t aRepeats)
{
  auto half = aSize;
  half.mWorkers /= 2;
  half.mServices /= 2;
  for (const auto items : { 1U, 10U, 100U }) {
    Print({ { "measure", "fold_ms" },
            { "items", items },
            { "alone", ApplyMilliseconds(aSize, items, false, aRepeats) },
            { "alone_half_size", ApplyMilliseconds(half, items, false, aRepeats) },
            { "held", ApplyMilliseconds(aSize, items, true, aRepeats) },
            { "held_half_size", ApplyMilliseconds(half, items, true, aRepeats) } });
  }
}

void MeasureSnapshot(const Size& aSize)
{
  constexpr std::uint32_t kRepeats = 5;
  const auto log = MakeLog(aSize);
  std::string text;
  const auto print = MeanMilliseconds(kRepeats, [&](std::uint32_t) { text = SnapshotRecord(log); });
  const auto adopt = MeanMilliseconds(kRepeats, [&text](std::uint32_t) {
    ConfigurationLog fresh;
    if (AdoptSnapshot(fresh, text).mKind != OutcomeKind::SnapshotAdopted) {
      std::cerr << "the snapshot was not adopted\n";
    }
  });
  // A reader that missed records holds most of the snapshot's items already.
  auto behind = log;
  const auto catchUp = MeanMilliseconds(kRepeats, [&](std::uint32_t aNumber) {
    const auto offset = 1000 * (aNumber + 1);
    auto newer = boost::json::parse(text);
    newer.as_object()["version"] = aNumber + 2;
    newer.as_object()["through"] = offset;
    NoteOldestOffset(behind, offset);
    if (AdoptSnapshot(behind, boost::json::serialize(newer)).mKind !=
        OutcomeKind::SnapshotAdopted) {
      std::cerr << "the newer snapshot was not adopted\n";
    }
  });
  auto upToDate = log;
  const auto ignore = MeanMilliseconds(
    kRepeats, [&](std::uint32_t aNumber) { ApplyRecord(upToDate, aNumber + 1, 2, text); });
  const auto document = PrintDocument(*log.mConfiguration);
  const auto parse = MeanMilliseconds(1, [&document](std::uint32_t) {
    yaml::Report report;
    ParseDocument(report, document);
  });
  Print({ { "measure", "snapshot" },
          { "bytes", text.size() },
          { "print_ms", print },
          { "adopt_ms", adopt },
          { "adopt_known_items_ms", catchUp },
          { "ignore_ms", ignore },
          { "document_bytes", document.size() },
          { "document_parse_ms", parse } });
}

} // namespace

int main(int aCount, char** aArguments)
{
  absl::SetProgramUsageMessage("Measures the configuration's memory per item and the cost of "
                               "applying records. For example:\n\n"
                               "  configuration-cost --workers=1500 --services=3000");
  absl::ParseCommandLine(aCount, aArguments);
  const Size size{ absl::GetFlag(FLAGS_data_centres),
                   absl::GetFlag(FLAGS_workers),
                   absl::GetFlag(FLAGS_services),
                   absl::GetFlag(FLAGS_upstreams_per_worker),
                   absl::GetFlag(FLAGS_teams) };
  MeasureMemory(size);
  MeasureApply(size, absl::GetFlag(FLAGS_repeats));
  MeasureSnapshot(size);
  return 0;
}
