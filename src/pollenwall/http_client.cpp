#include "http_client.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>
#include <boost/json.hpp>

namespace pollenwall::tool {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

/// A page of the log can hold several snapshot records.
constexpr std::uint64_t kMaxAnswerBytes = 512ULL * 1024 * 1024;

/// The request, response and error of one call.
struct Exchange
{
  explicit Exchange(const Call& aCall)
    : mCall(aCall)
  {
    mRequest.method_string(aCall.mMethod);
    mRequest.target(aCall.mTarget);
    mRequest.version(11);
    mRequest.set(http::field::host, settings::ToString(aCall.mServer));
    mRequest.set(http::field::user_agent, "pollenwall/" POLLENWALL_VERSION);
    if (!aCall.mBody.empty()) {
      mRequest.set(http::field::content_type, "application/json");
    }
    mRequest.keep_alive(false);
    mRequest.body() = aCall.mBody;
    mRequest.prepare_payload();
    mParser.body_limit(kMaxAnswerBytes);
  }

  const Call& mCall;
  http::request<http::string_body> mRequest;
  http::response_parser<http::string_body> mParser;
  beast::flat_buffer mBuffer;
  bool mSent = false; ///< A byte of the request may have reached the server.
  error_code mError;
};

template<typename Stream>
void WriteAndRead(Stream& aStream, Exchange& aExchange)
{
  aExchange.mSent = true;
  http::async_write(
    aStream, aExchange.mRequest, [&aStream, &aExchange](error_code aError, std::size_t) {
      aExchange.mError = aError;
      if (aError) {
        return;
      }
      http::async_read(
        aStream,
        aExchange.mBuffer,
        aExchange.mParser,
        [&aExchange](error_code aReadError, std::size_t) { aExchange.mError = aReadError; });
    });
}

asio::ip::tcp::endpoint ToEndpoint(const settings::Endpoint& aServer)
{
  return { asio::ip::make_address(aServer.mAddress), aServer.mPort };
}

void RunPlain(Exchange& aExchange)
{
  asio::io_context context(1);
  beast::tcp_stream stream(context);
  stream.expires_after(aExchange.mCall.mTimeout);
  stream.async_connect(ToEndpoint(aExchange.mCall.mServer), [&](error_code aError) {
    aExchange.mError = aError;
    if (!aError) {
      WriteAndRead(stream, aExchange);
    }
  });
  context.run();
}

void RunTls(Exchange& aExchange)
{
  const auto& files = aExchange.mCall.mTls;
  asio::ssl::context tlsContext(asio::ssl::context::tls_client);
  tlsContext.set_verify_mode(asio::ssl::verify_peer);
  tlsContext.load_verify_file(files.mAuthorityFile);
  tlsContext.use_certificate_chain_file(files.mCertificateFile);
  tlsContext.use_private_key_file(files.mKeyFile, asio::ssl::context::pem);
  asio::io_context context(1);
  beast::ssl_stream<beast::tcp_stream> stream(context, tlsContext);
  auto& tcpStream = beast::get_lowest_layer(stream);
  tcpStream.expires_after(aExchange.mCall.mTimeout);
  tcpStream.async_connect(ToEndpoint(aExchange.mCall.mServer), [&](error_code aError) {
    aExchange.mError = aError;
    if (aError) {
      return;
    }
    stream.async_handshake(asio::ssl::stream_base::client, [&](error_code aHandshakeError) {
      aExchange.mError = aHandshakeError;
      if (!aHandshakeError) {
        WriteAndRead(stream, aExchange);
      }
    });
  });
  context.run();
}

/// Converts an answer other than 2xx to an error. Without a verdict in the body it is MayHaveRun.
Error RefusalError(const Exchange& aExchange)
{
  const auto& response = aExchange.mParser.get();
  Error error;
  error.mMessage = settings::ToString(aExchange.mCall.mServer) + " answered " +
                   std::to_string(response.result_int());
  error_code ec;
  const auto value = boost::json::parse(response.body(), ec);
  const auto* object = ec ? nullptr : value.if_object();
  const auto text = [&](std::string_view aKey) {
    const auto* field = object ? object->if_contains(aKey) : nullptr;
    return field && field->is_string() ? std::string(field->get_string()) : std::string();
  };
  if (const auto message = text("message"); !message.empty()) {
    error.mMessage += ": " + message;
  }
  error.mVerdict = ParseVerdict(text("verdict")).value_or(Verdict::MayHaveRun);
  error.mCode = ParseErrorCode(text("code")).value_or(ErrorCode::Internal);
  return error;
}

} // namespace

Result<std::string> Send(const Call& aCall)
{
  Exchange exchange(aCall);
  try {
    if (aCall.mTls.mEnabled) {
      RunTls(exchange);
    } else {
      RunPlain(exchange);
    }
  } catch (const boost::system::system_error& error) {
    exchange.mError = error.code();
  }
  if (exchange.mError) {
    return boost::leaf::new_error(
      Error{ ErrorCode::Internal,
             exchange.mSent ? Verdict::MayHaveRun : Verdict::NotRun,
             settings::ToString(aCall.mServer) + ": " + exchange.mError.message(),
             {} });
  }
  if (http::to_status_class(exchange.mParser.get().result()) != http::status_class::successful) {
    return boost::leaf::new_error(RefusalError(exchange));
  }
  return std::move(exchange.mParser.get().body());
}

} // namespace pollenwall::tool
