#pragma once

#include "load/load_settings.hpp"
#include "state/units.hpp"
#include "transport/http/client.hpp"
#include "transport/process/clock.hpp"

#include <cstdint>
#include <vector>

namespace buckthorndale::utilities::load {

/// What a run measured.
struct load_result {
    std::vector<state::duration> first_tokens_;
    std::vector<state::duration> between_tokens_;
    std::int64_t whole_{0};
    std::int64_t failed_{0};
    std::int64_t tokens_{0};
    state::duration taken_{0};
};

/// Sends requests from several callers at once and times their answers.
class load_run {
public:
    load_run(transport::http::asio::io_context& context, load_settings settings)
        : context_{context}, client_{context}, settings_{std::move(settings)}
    {}

    /// Runs to the end and gives the result.
    auto run() -> load_result;

private:
    auto call_in_turn(int caller) -> transport::http::awaitable<void>;
    auto call_once(int number) -> transport::http::awaitable<void>;
    auto message(int number) const -> transport::http::request;

    transport::http::asio::io_context& context_;
    transport::http::client client_;
    load_settings settings_;
    load_result result_;
    transport::process::system_clock clock_;
};

/// The value that the part of all values does not exceed, such as 0.5 for the median.
auto quantile(std::vector<state::duration> values, double part) -> state::duration;

} // namespace buckthorndale::utilities::load
