#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

/// A server that writes any bytes as its answer, for tests of how answers are read.
namespace buckthorndale::utilities::raw_stand_in {

/// What a raw listener does with a connection once it has written its answer.
enum class raw_end : std::uint8_t {
    close,
    reset,
    /// Ends its side, and resets the connection shortly after.
    end_and_reset,
    /// Keeps the connection open until its peer closes it.
    hold,
};

/// Throws error of kind invalid_request for an unknown name.
auto raw_end_from(std::string_view text) -> raw_end;

/// How a raw listener answers each request.
struct raw_answer {
    /// Written once. `@echo@` stands for the value of the request's echoed header.
    std::string text_;
    /// Written again and again after the text, without end; empty for an answer that ends.
    std::string repeated_;
    /// Between two portions of what is repeated, of 16 KiB each.
    std::chrono::milliseconds interval_{0};
    raw_end end_{raw_end::close};
    /// Whether the request is read to its end before it is answered, or its headers alone.
    bool reads_body_{true};
    /// Before the answer.
    std::chrono::milliseconds delay_{0};
    /// Between the last byte of the answer and the end of the connection.
    std::chrono::milliseconds pause_{0};
};

} // namespace buckthorndale::utilities::raw_stand_in
