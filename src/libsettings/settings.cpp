#include <pollenwall/settings.h>

#include <algorithm>
#include <charconv>
#include <set>

#include <arpa/inet.h>

namespace pollenwall::settings {
namespace {

using yaml::Section;

constexpr std::int64_t kKibibyte = 1024;
constexpr std::int64_t kMebibyte = 1024 * kKibibyte;
constexpr std::int64_t kHourMs = 3'600'000;
constexpr std::size_t kMaxNameLength = 64;

constexpr std::string_view kEndpointAllowed =
  "IP:PORT with an IP number and a port from 1 to 65535";

std::string Quoted(std::string_view aText)
{
  return std::string("'").append(aText).append("'");
}

bool IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         std::all_of(aText.begin(), aText.end(), [](char aIt) {
           return (aIt >= 'a' && aIt <= 'z') || (aIt >= 'A' && aIt <= 'Z') ||
                  (aIt >= '0' && aIt <= '9') || aIt == '.' || aIt == '_' || aIt == '-';
         });
}

bool IsWildcard(const Endpoint& aEndpoint)
{
  return aEndpoint.mAddress == "0.0.0.0" || aEndpoint.mAddress == "::";
}

std::string ReadName(Section& aSection, std::string_view aKey)
{
  auto name = yaml::GetString(aSection, aKey);
  if (yaml::Has(aSection, aKey) && !IsName(name)) {
    yaml::AddProblem(aSection, aKey, Quoted(name), "1 to 64 characters of [A-Za-z0-9._-]");
  }
  return name;
}

Endpoint ReadEndpoint(Section& aSection, std::string_view aKey)
{
  const auto text = yaml::GetString(aSection, aKey);
  const auto endpoint = ParseEndpoint(text);
  if (!endpoint && yaml::Has(aSection, aKey)) {
    yaml::AddProblem(aSection, aKey, Quoted(text), std::string(kEndpointAllowed));
  }
  return endpoint.value_or(Endpoint{});
}

void ReadMilliseconds(Section& aSection,
                      std::string_view aKey,
                      std::int64_t aMin,
                      std::int64_t aMax,
                      std::chrono::milliseconds& aValue)
{
  aValue = std::chrono::milliseconds(yaml::GetInteger(aSection, aKey, aMin, aMax, aValue.count()));
}

void ReadSize(Section& aSection,
              std::string_view aKey,
              std::int64_t aMin,
              std::int64_t aMax,
              std::size_t& aValue)
{
  aValue = static_cast<std::size_t>(
    yaml::GetInteger(aSection, aKey, aMin, aMax, static_cast<std::int64_t>(aValue)));
}

void ReadDataCentres(Section& aRoot, Settings& aSettings)
{
  aSettings.mNode.mDataCentre = ReadName(aRoot, "data_centre");
  aSettings.mNode.mDispatch.mDataCentre = aSettings.mNode.mDataCentre;
  aSettings.mDataCentres = yaml::GetStrings(aRoot, "data_centres");
  if (!yaml::Has(aRoot, "data_centres")) {
    yaml::AddProblem(aRoot, "data_centres", "nothing", "a list of the known data centres");
    return;
  }
  std::set<std::string> seen;
  std::string known;
  for (const auto& name : aSettings.mDataCentres) {
    known += (known.empty() ? "" : ", ") + name;
    if (!IsName(name)) {
      yaml::AddProblem(
        aRoot, "data_centres", Quoted(name), "names of 1 to 64 characters of [A-Za-z0-9._-]");
    } else if (!seen.insert(name).second) {
      yaml::AddProblem(aRoot, "data_centres", Quoted(name) + " twice", "each data centre once");
    }
  }
  const auto& own = aSettings.mNode.mDataCentre;
  if (IsName(own) && !seen.contains(own)) {
    yaml::AddProblem(aRoot,
                     "data_centre",
                     "unknown " + Quoted(own),
                     known.empty() ? "one of data_centres, which is empty" : known);
  }
}

void ReadAddresses(Section& aRoot, Settings& aSettings)
{
  if (!yaml::Has(aRoot, "listen")) {
    yaml::AddProblem(aRoot, "listen", "nothing", "a mapping with callers, operators and peers");
  }
  auto listen = yaml::GetSection(aRoot, "listen");
  if (yaml::Has(aRoot, "listen")) {
    aSettings.mCallers = ReadEndpoint(listen, "callers");
    aSettings.mOperators = ReadEndpoint(listen, "operators");
    aSettings.mPeers = ReadEndpoint(listen, "peers");
  }
  if (IsWildcard(aSettings.mPeers)) {
    yaml::AddProblem(listen,
                     "peers",
                     Quoted(ToString(aSettings.mPeers)),
                     "the IP number by which other entries reach this one");
  }
  std::set<std::string> ports;
  for (const auto& [key, endpoint] : { std::pair{ "callers", aSettings.mCallers },
                                       std::pair{ "operators", aSettings.mOperators },
                                       std::pair{ "peers", aSettings.mPeers } }) {
    if (endpoint.mPort != 0 && !ports.insert(ToString(endpoint)).second) {
      yaml::AddProblem(listen, key, Quoted(ToString(endpoint)) + " twice", "each address once");
    }
  }
  yaml::CheckKeys(listen);
  aSettings.mNode.mPeerAddress = ToString(aSettings.mPeers);
  aSettings.mNode.mSeedAddresses = yaml::GetStrings(aRoot, "seeds");
  std::set<std::string> seen;
  for (const auto& seed : aSettings.mNode.mSeedAddresses) {
    if (!ParseEndpoint(seed)) {
      yaml::AddProblem(aRoot, "seeds", Quoted(seed), std::string(kEndpointAllowed));
    } else if (!seen.insert(seed).second) {
      yaml::AddProblem(aRoot, "seeds", Quoted(seed) + " twice", "each address once");
    }
  }
  if (!yaml::Has(aRoot, "platform")) {
    aSettings.mLogService = ReadEndpoint(aRoot, "log_service");
    aSettings.mVmList = ReadEndpoint(aRoot, "vm_list");
  }
}

void ReadPlatform(Section& aRoot, Settings& aSettings)
{
  if (!yaml::Has(aRoot, "platform")) {
    return;
  }
  auto section = yaml::GetSection(aRoot, "platform");
  Platform platform;
  platform.mReadiness = ReadEndpoint(section, "readiness");
  platform.mStore = ReadEndpoint(section, "store");
  if (yaml::Has(section, "machines")) {
    platform.mMachines = ReadEndpoint(section, "machines");
  }
  auto& entry = platform.mEntry;
  ReadMilliseconds(section, "lease_ms", 100, 60000, entry.mHolding.mLease);
  ReadMilliseconds(section, "look_wait_ms", 10, 2000, entry.mHolding.mPollWait);
  ReadMilliseconds(section, "idle_look_ms", 100, 60000, entry.mHolding.mIdlePollInterval);
  ReadMilliseconds(section, "answer_timeout_ms", 10, 10000, entry.mHolding.mAnswerTimeout);
  ReadMilliseconds(section, "presence_ms", 20, 10000, entry.mPresenceInterval);
  ReadMilliseconds(section, "silent_after_ms", 50, 60000, entry.mSilentAfter);
  ReadMilliseconds(section, "runs_over_after_ms", 100, 60000, entry.mRunsOverAfter);
  ReadMilliseconds(section, "drain_limit_ms", 100, kHourMs, entry.mDrainLimit);
  entry.mProcessorShare =
    yaml::GetNumber(section, "processor_share", 0.001, 1024, entry.mProcessorShare);
  entry.mLinkMbps = yaml::GetNumber(section, "link_mbps", 0, 1e6, entry.mLinkMbps);
  ReadSize(section, "upstreams_per_holder", 1, 10000, entry.mUpstreamsPerHolder);
  const auto minLease = entry.mHolding.mPollWait + entry.mHolding.mAnswerTimeout;
  if (entry.mHolding.mLease < minLease) {
    yaml::AddProblem(section,
                     "lease_ms",
                     std::to_string(entry.mHolding.mLease.count()),
                     "at least look_wait_ms and answer_timeout_ms together, " +
                       std::to_string(minLease.count()));
  }
  if (entry.mSilentAfter < 2 * entry.mPresenceInterval) {
    yaml::AddProblem(section,
                     "silent_after_ms",
                     std::to_string(entry.mSilentAfter.count()),
                     "at least twice presence_ms");
  }
  const auto longest = entry::LongestRunOverTime(entry);
  if (entry.mRunsOverAfter < longest) {
    yaml::AddProblem(section,
                     "runs_over_after_ms",
                     std::to_string(entry.mRunsOverAfter.count()),
                     "at least the time in which runs end after the loss of an entry, from "
                     "silent_after_ms and lease_ms: " +
                       std::to_string(longest.count()));
  }
  yaml::CheckKeys(section);
  entry.mName = aSettings.mNode.mName;
  entry.mDataCentre = aSettings.mNode.mDataCentre;
  entry.mPeerAddress = aSettings.mNode.mPeerAddress;
  entry.mDispatch = aSettings.mNode.mDispatch;
  aSettings.mPlatform = std::move(platform);
}

/// Without TLS, anyone who can reach the port for peers or operators can start tasks or stop an
/// entry.
void CheckLoopback(Section& aRoot, const Settings& aSettings)
{
  if (aSettings.mTrustedNetwork) {
    return;
  }
  const auto check = [&aRoot](std::string_view aWhat, const Endpoint& aEndpoint) {
    if (aEndpoint.mPort != 0 && !IsLoopback(aEndpoint)) {
      yaml::AddProblem(aRoot,
                       "tls",
                       "'off' with " + std::string(aWhat) + " " + ToString(aEndpoint),
                       "off only when all addresses of peers and operators are loopback, or with "
                       "trusted_network: true");
    }
  };
  check("listen.operators", aSettings.mOperators);
  check("listen.peers", aSettings.mPeers);
  for (const auto& seed : aSettings.mNode.mSeedAddresses) {
    check("the seed", ParseEndpoint(seed).value_or(Endpoint{}));
  }
}

void ReadTls(Section& aRoot, Settings& aSettings)
{
  constexpr std::string_view kAllowed = "off, or a mapping with certificate, key and authority";
  if (!yaml::Has(aRoot, "tls")) {
    aRoot.mKnownKeys.emplace("tls");
    yaml::AddProblem(aRoot, "tls", "nothing", std::string(kAllowed));
    return;
  }
  const YAML::Node& root = aRoot.mNode;
  const auto node = root["tls"];
  if (!node.IsMap()) {
    aRoot.mKnownKeys.emplace("tls");
    aSettings.mTls.mEnabled = false;
    if (!node.IsScalar() || node.Scalar() != "off") {
      yaml::AddProblem(aRoot,
                       "tls",
                       node.IsScalar() ? Quoted(node.Scalar()) : "no mapping",
                       std::string(kAllowed));
      return;
    }
    CheckLoopback(aRoot, aSettings);
    return;
  }
  auto tls = yaml::GetSection(aRoot, "tls");
  for (const auto& [key, file] : { std::pair{ "certificate", &aSettings.mTls.mCertificateFile },
                                   std::pair{ "key", &aSettings.mTls.mKeyFile },
                                   std::pair{ "authority", &aSettings.mTls.mAuthorityFile } }) {
    *file = yaml::GetString(tls, key);
    if (yaml::Has(tls, key) && file->empty()) {
      yaml::AddProblem(tls, key, "''", "the path of a PEM file");
    }
  }
  yaml::CheckKeys(tls);
}

void ReadForwarders(Section& aRoot, Settings& aSettings)
{
  for (const auto& text : yaml::GetStrings(aRoot, "forwarders")) {
    const auto equals = text.find('=');
    const auto from = text.substr(0, equals);
    const auto to = equals == std::string::npos ? "" : text.substr(equals + 1);
    if (!ParseEndpoint(from) || !ParseEndpoint(to)) {
      yaml::AddProblem(aRoot, "forwarders", Quoted(text), "IP:PORT=IP:PORT");
    } else if (!aSettings.mForwarders.emplace(from, to).second) {
      yaml::AddProblem(aRoot, "forwarders", Quoted(from) + " twice", "each address once");
    }
  }
}

void ReadTiming(Section& aRoot, node::Options& aOptions)
{
  auto timing = yaml::GetSection(aRoot, "timing");
  ReadMilliseconds(timing, "heartbeat_ms", 20, 10000, aOptions.mHeartbeatInterval);
  ReadMilliseconds(timing, "suspect_after_ms", 50, 60000, aOptions.mSuspectAfter);
  ReadMilliseconds(timing, "lease_ms", 50, 60000, aOptions.mLease);
  ReadMilliseconds(timing, "drift_margin_ms", 1, 10000, aOptions.mDriftMargin);
  ReadMilliseconds(timing, "max_ahead_ms", 0, 10000, aOptions.mMaxBirthAhead);
  ReadMilliseconds(timing, "max_clock_skew_ms", 0, 10000, aOptions.mMaxClockSkew);
  ReadMilliseconds(timing, "log_retention_ms", 1000, 30 * 24 * kHourMs, aOptions.mLogRetention);
  ReadMilliseconds(timing, "drain_limit_ms", 100, kHourMs, aOptions.mDrainLimit);
  // One lost heartbeat must neither make a member suspect nor let a lease expire.
  const auto minimum = 2 * aOptions.mHeartbeatInterval;
  const auto check = [&](std::string_view aKey, std::chrono::milliseconds aValue) {
    if (aValue < minimum) {
      yaml::AddProblem(timing,
                       aKey,
                       std::to_string(aValue.count()),
                       "at least twice heartbeat_ms, " + std::to_string(minimum.count()));
    }
  };
  check("suspect_after_ms", aOptions.mSuspectAfter);
  check("lease_ms", aOptions.mLease);
  yaml::CheckKeys(timing);
}

void ReadLimits(Section& aRoot, Settings& aSettings)
{
  auto& options = aSettings.mNode;
  auto journal = yaml::GetSection(aRoot, "journal");
  options.mJournalAppendsPerSecond =
    yaml::GetNumber(journal, "appends_per_second", 0.01, 1000, options.mJournalAppendsPerSecond);
  ReadSize(journal, "buffer_records", 1, 10'000'000, options.mJournalBufferRecords);
  yaml::CheckKeys(journal);

  auto dispatch = yaml::GetSection(aRoot, "dispatch");
  auto& limits = options.mDispatch;
  ReadMilliseconds(dispatch, "answer_retention_ms", 100, kHourMs, limits.mAnswerRetention);
  ReadMilliseconds(dispatch, "start_window_ms", 10, 60000, limits.mStartWindow);
  ReadSize(dispatch, "max_queued_tasks", 1, 100'000'000, limits.mMaxQueuedTasks);
  ReadSize(
    dispatch, "max_tasks_per_job", 1, std::int64_t{ kMaxTasksPerJob }, limits.mMaxTasksPerJob);
  limits.mRetryRatio = yaml::GetNumber(dispatch, "retry_ratio", 0, 1, limits.mRetryRatio);
  limits.mRetryBurst = yaml::GetNumber(dispatch, "retry_burst", 0, 1e6, limits.mRetryBurst);
  ReadMilliseconds(dispatch, "sign_expiry_ms", 100, kHourMs, limits.mSignExpiry);
  limits.mShortageShares = yaml::GetBool(dispatch, "shortage_shares", limits.mShortageShares);
  ReadSize(dispatch, "shortage_min_places", 0, 1'000'000, limits.mMinSharedPlaces);
  limits.mLookAhead = yaml::GetBool(dispatch, "look_ahead", limits.mLookAhead);
  yaml::CheckKeys(dispatch);

  auto http = yaml::GetSection(aRoot, "http");
  ReadSize(http, "max_body_bytes", kKibibyte, 1024 * kMebibyte, aSettings.mHttp.mMaxBodyBytes);
  ReadSize(http, "max_header_bytes", kKibibyte, kMebibyte, aSettings.mHttp.mMaxHeaderBytes);
  ReadSize(http, "max_connections", 1, 1'000'000, aSettings.mHttp.mMaxConnections);
  ReadSize(http, "max_trailer_bytes", kKibibyte, kMebibyte, aSettings.mHttp.mMaxTrailerBytes);
  ReadSize(http, "socket_buffer_bytes", 0, 256 * kMebibyte, aSettings.mHttp.mSocketBufferBytes);
  ReadMilliseconds(http, "read_timeout_ms", 10, kHourMs, aSettings.mHttp.mReadTimeout);
  ReadMilliseconds(http, "header_timeout_ms", 10, kHourMs, aSettings.mHttp.mHeaderTimeout);
  ReadMilliseconds(http, "idle_timeout_ms", 10, kHourMs, aSettings.mHttp.mIdleTimeout);
  ReadSize(http, "memory_mb", 16, kMebibyte, aSettings.mHttp.mMemoryMb);
  ReadSize(http, "max_fds", 0, 100'000'000, aSettings.mHttp.mMaxDescriptors);
  yaml::CheckKeys(http);

  constexpr std::size_t kMaxLinesPerSecond = 1'000'000;
  auto logs = yaml::GetSection(aRoot, "logs");
  ReadSize(logs, "thin_after_per_second", 0, kMaxLinesPerSecond, aSettings.mLogLimits.mSampleAfter);
  ReadSize(logs, "info_per_second", 0, kMaxLinesPerSecond, aSettings.mLogLimits.mMaxInfoLines);
  ReadSize(logs, "most_per_second", 0, kMaxLinesPerSecond, aSettings.mLogLimits.mMaxLines);
  yaml::CheckKeys(logs);

  ReadSize(aRoot, "max_frame_bytes", 64 * kKibibyte, 256 * kMebibyte, aSettings.mMaxFrameBytes);
}

} // namespace

std::string ToString(const Endpoint& aEndpoint)
{
  const bool isIpv6 = aEndpoint.mAddress.find(':') != std::string::npos;
  std::string text;
  text.append(isIpv6 ? "[" : "").append(aEndpoint.mAddress).append(isIpv6 ? "]:" : ":");
  return text + std::to_string(aEndpoint.mPort);
}

bool IsLoopback(const Endpoint& aEndpoint)
{
  return aEndpoint.mAddress.starts_with("127.") || aEndpoint.mAddress == "::1";
}

std::optional<Endpoint> ParseEndpoint(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  auto address = aText.substr(0, colon);
  const auto port = aText.substr(colon + 1);
  const bool bracketed = address.starts_with('[') && address.ends_with(']');
  if (bracketed) {
    address = address.substr(1, address.size() - 2);
  }
  Endpoint endpoint{ std::string(address), 0 };
  in6_addr buf{};
  if (inet_pton(bracketed ? AF_INET6 : AF_INET, endpoint.mAddress.c_str(), &buf) != 1) {
    return std::nullopt;
  }
  const auto* last = port.data() + port.size();
  const auto [end, ec] = std::from_chars(port.data(), last, endpoint.mPort);
  if (ec != std::errc() || end != last || endpoint.mPort == 0) {
    return std::nullopt;
  }
  return endpoint;
}

const std::string& ConnectAddress(const Settings& aSettings, const std::string& aAddress)
{
  const auto it = aSettings.mForwarders.find(aAddress);
  return it == aSettings.mForwarders.end() ? aAddress : it->second;
}

ReadResult ReadSettings(std::string_view aFile, std::string_view aText)
{
  ReadResult result;
  result.mReport.mFile = aFile;
  auto root = yaml::OpenDocument(result.mReport, aText);
  if (!result.mReport.mProblems.empty()) {
    return result;
  }
  auto& settings = result.mSettings;
  settings.mNode.mName = ReadName(root, "name");
  ReadDataCentres(root, settings);
  ReadAddresses(root, settings);
  settings.mTrustedNetwork = yaml::GetBool(root, "trusted_network", false);
  ReadTls(root, settings);
  ReadForwarders(root, settings);
  ReadTiming(root, settings.mNode);
  ReadLimits(root, settings);
  ReadPlatform(root, settings);
  yaml::CheckKeys(root);
  return result;
}

} // namespace pollenwall::settings
