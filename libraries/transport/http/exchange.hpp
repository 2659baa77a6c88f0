#pragma once

#include "transport/http/caller_share.hpp"
#include "transport/http/types.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace buckthorndale::transport::http {

/// A caller's request and the means to answer it. Used on the server's thread only.
class exchange {
public:
    exchange() = default;
    virtual ~exchange() = default;

    exchange(const exchange&) = delete;
    auto operator=(const exchange&) -> exchange& = delete;

    /// The complete request.
    virtual auto message() const -> const request& = 0;

    /// Takes the request out of the exchange, so that it is not held twice.
    virtual auto take_message() -> request = 0;

    /// What the request holds of the memory for callers. Whoever keeps the request keeps this too.
    virtual auto share() -> const std::shared_ptr<caller_share>& = 0;

    /// Sends a complete response.
    virtual auto send(response answer) -> awaitable<void> = 0;

    /// Sends the headers of a chunked response.
    virtual auto begin(response headers) -> awaitable<void> = 0;

    /// Sends a chunk of a response that was begun.
    virtual auto send_chunk(std::string_view bytes) -> awaitable<void> = 0;

    /// Ends a chunked response.
    virtual auto end() -> awaitable<void> = 0;

    /// Closes the connection without ending the response, so that the caller sees that it is incomplete.
    /// The reason is logged.
    virtual auto abort(std::string_view reason) -> void = 0;

    auto abort() -> void { abort("the handler aborted the response"); }

    /// Sets the text that names the request in the server's log lines, such as `request=ID`.
    virtual auto set_label(std::string label) -> void = 0;

    /// Calls `on_disconnect` once if the caller closes its side before the response is complete.
    virtual auto watch_for_disconnect(std::function<void()> on_disconnect) -> void = 0;
};

} // namespace buckthorndale::transport::http
