#pragma once

#include <string>
#include <string_view>

#include <pollenwall/node.h>

/// The log service's and the VM list's protocols as text, without I/O. All answers are untrusted.
namespace pollenwall::daemon {

/// Paths with their query.
std::string AppendTarget(std::string_view aStream);
std::string ReadTarget(const node::ReadLog& aRead, std::size_t aMax);

/// Decodes a page of records into the result of a read that asked for aFrom. The result has mOk
/// only when offsets rise one by one from no less than aFrom and agree with `first` and `next`.
node::LogRead ParsePage(std::string_view aBody, std::string aStream, std::uint64_t aFrom);

/// The result has mOk only when every element is valid.
node::VmList ParseVmList(std::string_view aBody);

} // namespace pollenwall::daemon
