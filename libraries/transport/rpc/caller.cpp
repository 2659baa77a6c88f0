#include <utility>

#include "transport/rpc/caller.hpp"

#include "protocol/rpc/method_names.hpp"
#include "state/error.hpp"
#include "transport/rpc/client_codec.hpp"

namespace buckthorndale::transport::rpc {

auto caller::call(state::network_address peer, std::string method, Json::Value parameters,
                  state::duration timeout) -> http::awaitable<Json::Value>
{
    auto message = http::request{http::beast::http::verb::post, protocol::rpc::path, 11};
    message.set(http::beast::http::field::content_type, "application/json");
    message.body() = encode_request(method, parameters);
    ++counters_.calls_;
    message.prepare_payload();
    counters_.sent_bytes_ += http::to_wire(message).size();
    const auto timeouts =
        http::client::timeouts{.connect_ = timeout, .first_byte_ = timeout, .between_chunks_ = timeout};
    const auto answer = co_await client_.fetch(peer, std::move(message), timeouts);
    counters_.received_bytes_ += http::to_wire(answer).size();
    auto decoded = decode_response(method, answer.body());
    if (decoded.is_error_)
        throw state::error{state::error_kind::invalid_request,
                           method + " was rejected: " + decoded.error_ + ".",
                           "Run the same release on all instances."};
    co_return std::move(decoded.result_);
}

} // namespace buckthorndale::transport::rpc
