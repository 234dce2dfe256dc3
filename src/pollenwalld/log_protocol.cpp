#include "log_protocol.h"

#include <boost/json.hpp>

namespace pollenwall::daemon {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxVms = 100'000;

/// Returns the value of a key, or nothing if it is absent or not an unsigned number.
std::optional<std::uint64_t> FindUnsigned(const json::object& aObject, std::string_view aKey)
{
  const auto* value = aObject.if_contains(aKey);
  if (value == nullptr || !value->is_number()) {
    return std::nullopt;
  }
  boost::system::error_code ec;
  const auto n = value->to_number<std::uint64_t>(ec);
  return ec ? std::nullopt : std::optional(n);
}

std::optional<std::string> FindString(const json::object& aObject, std::string_view aKey)
{
  const auto* value = aObject.if_contains(aKey);
  if (value == nullptr || !value->is_string()) {
    return std::nullopt;
  }
  return std::string(value->get_string().data(), value->get_string().size());
}

json::value Parse(std::string_view aBody, const json::storage_ptr& aMemory)
{
  boost::system::error_code ec;
  auto value = json::parse(aBody, ec, aMemory);
  return ec ? json::value(nullptr, aMemory) : value;
}

std::optional<node::LogRecord> ReadRecord(const json::value& aValue)
{
  const auto* object = aValue.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  const auto offset = FindUnsigned(*object, "offset");
  const auto at = FindUnsigned(*object, "at_ms");
  auto data = FindString(*object, "data");
  if (!offset || !at || !data || *at > static_cast<std::uint64_t>(INT64_MAX)) {
    return std::nullopt;
  }
  return node::LogRecord{ *offset, static_cast<UnixMs>(*at), std::move(*data) };
}

std::optional<node::Vm> ReadVm(const json::value& aValue)
{
  const auto* object = aValue.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  auto address = FindString(*object, "address");
  auto dataCentre = FindString(*object, "data_centre");
  const auto role = FindString(*object, "role");
  const auto state = FindString(*object, "state");
  if (!address || !dataCentre || !role || !state || (*role != "entry" && *role != "worker") ||
      (*state != "live" && *state != "leaving")) {
    return std::nullopt;
  }
  return node::Vm{
    std::move(*address), std::move(*dataCentre), *role == "entry", *state == "leaving"
  };
}

} // namespace

std::string AppendTarget(std::string_view aStream)
{
  return "/v1/streams/" + std::string(aStream) + "/records";
}

std::string ReadTarget(const node::ReadLog& aRead, std::size_t aMaxRecords)
{
  return AppendTarget(aRead.mStream) + "?from=" + std::to_string(aRead.mFrom) +
         "&max=" + std::to_string(aMaxRecords) + "&wait_ms=" + std::to_string(aRead.mWait.count());
}

node::LogRead ParsePage(std::string_view aBody, std::string aStream, std::uint64_t aFrom)
{
  node::LogRead failed;
  failed.mStream = aStream;
  node::LogRead result;
  result.mStream = std::move(aStream);
  json::monotonic_resource memory;
  const auto value = Parse(aBody, &memory);
  const auto* object = value.if_object();
  if (object == nullptr) {
    return failed;
  }
  const auto first = FindUnsigned(*object, "first");
  const auto next = FindUnsigned(*object, "next");
  const auto* records = object->if_contains("records");
  if (!first || !next || records == nullptr || !records->is_array()) {
    return failed;
  }
  result.mFirst = *first;
  result.mNext = *next;
  auto minOffset = std::max(aFrom, *first);
  for (const auto& element : records->get_array()) {
    auto record = ReadRecord(element);
    if (!record || record->mOffset < minOffset || record->mOffset >= *next) {
      return failed;
    }
    minOffset = record->mOffset + 1;
    result.mRecords.push_back(std::move(*record));
  }
  // If `next` were beyond the last record, the reader would never read the records in between.
  if (!result.mRecords.empty() && minOffset != *next) {
    return failed;
  }
  // Without `end`, only an empty page means that the stream has no further records.
  const auto end = FindUnsigned(*object, "end");
  if (end && *end < *next) {
    return failed;
  }
  result.mAtEnd = end ? *end == *next : result.mRecords.empty();
  result.mOk = true;
  return result;
}

node::VmList ParseVmList(std::string_view aBody)
{
  node::VmList list;
  json::monotonic_resource memory;
  const auto value = Parse(aBody, &memory);
  const auto* object = value.if_object();
  if (object == nullptr) {
    return {};
  }
  const auto asOf = FindUnsigned(*object, "as_of_ms");
  const auto* vms = object->if_contains("vms");
  if (!asOf || *asOf > static_cast<std::uint64_t>(INT64_MAX) || vms == nullptr ||
      !vms->is_array() || vms->get_array().size() > kMaxVms) {
    return {};
  }
  list.mAsOfMs = static_cast<UnixMs>(*asOf);
  for (const auto& element : vms->get_array()) {
    auto vm = ReadVm(element);
    if (!vm) {
      return {};
    }
    list.mVms.push_back(std::move(*vm));
  }
  list.mOk = true;
  return list;
}

} // namespace pollenwall::daemon
