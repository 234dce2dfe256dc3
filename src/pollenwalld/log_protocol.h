#pragma once

#include <string>
#include <string_view>

#include <pollenwall/node.h>

/// Encoding and decoding of the protocols of the log service and the VM list, without I/O. All
/// answers are untrusted.
namespace pollenwall::daemon {

/// Request targets: the path and its query.
std::string AppendTarget(std::string_view aStream);
std::string ReadTarget(const node::ReadLog& aRead, std::size_t aMaxRecords);

/// Decodes a page of records, the answer to a read from offset aFrom. mOk is set only if the
/// offsets increase, none is less than aFrom, and they agree with `first` and `next`.
node::LogRead ParsePage(std::string_view aBody, std::string aStream, std::uint64_t aFrom);

/// Decodes a VM list. mOk is set only if every element is valid.
node::VmList ParseVmList(std::string_view aBody);

} // namespace pollenwall::daemon
