#pragma once

#include "transport/http/types.hpp"

#include <functional>
#include <string_view>

namespace buckthorndale::transport::http {

/// One request of a caller and the way to answer it. Members are used on the server's thread.
class exchange {
public:
    exchange() = default;
    virtual ~exchange() = default;

    exchange(const exchange&) = delete;
    auto operator=(const exchange&) -> exchange& = delete;

    /// The request, whole.
    virtual auto message() const -> const request& = 0;

    /// Sends a whole answer.
    virtual auto send(response answer) -> awaitable<void> = 0;

    /// Begins an answer that is sent in portions.
    virtual auto begin(response headers) -> awaitable<void> = 0;

    /// Sends a portion.
    virtual auto send_chunk(std::string_view bytes) -> awaitable<void> = 0;

    /// Ends an answer that was begun.
    virtual auto end() -> awaitable<void> = 0;

    /// Closes the connection without ending the answer, so that the caller sees that it is not whole.
    virtual auto abort() -> void = 0;

    /// Calls back once when the caller closes its side while the answer is awaited.
    virtual auto watch_for_disconnect(std::function<void()> on_disconnect) -> void = 0;
};

} // namespace buckthorndale::transport::http
