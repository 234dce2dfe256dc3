#pragma once

#include <net_test.h>

namespace pollenwall::test {

/// Lets each allocation of more bytes fail with std::bad_alloc.
void LimitAllocations(std::size_t aMaxBytes);

bool CallerJsonTests();
bool CallersTests(boost::asio::io_context& aContext);
bool CoreLoopTests(boost::asio::io_context& aContext);
bool EntryLinksTests(boost::asio::io_context& aContext);
bool LogProtocolTests();
bool PeersTests(boost::asio::io_context& aContext);
bool UpstreamPoolTests(boost::asio::io_context& aContext);

} // namespace pollenwall::test
