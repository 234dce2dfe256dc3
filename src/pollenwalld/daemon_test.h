#pragma once

#include <net_test.h>

namespace pollenwall::test {

bool CallerJsonTests();
bool CallersTests(boost::asio::io_context& aContext);
bool EntryLinksTests(boost::asio::io_context& aContext);
bool LogProtocolTests();
bool PeersTests(boost::asio::io_context& aContext);
bool UpstreamPoolTests(boost::asio::io_context& aContext);

} // namespace pollenwall::test
