#pragma once

#include "endpoint_stand_in/endpoint_settings.hpp"
#include "transport/http/exchange.hpp"
#include "transport/http/types.hpp"

#include <json/value.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace buckthorndale::utilities::endpoint_stand_in {

/// Faults that are switched on by POST /faults.
struct fault_switches {
    /// Open connections go silent for good; new ones work.
    bool is_silent_{false};
    /// Streams end by a cut after so many tokens; 0 switches this off.
    std::int64_t cut_after_{0};
    /// Answers name this version, whatever was asked for.
    std::string answered_version_;
    /// The endpoint says that it is leaving, and declines new work.
    bool is_leaving_{false};
    /// Runs requests and sends them a refusal of an earlier one.
    bool repeats_refusals_{false};
    /// Added to the time between tokens.
    state::duration slower_{0};
};

/// Answers the calls of engines, plain services and the rating service.
class endpoint_service {
public:
    endpoint_service(transport::http::asio::io_context& context, endpoint_settings settings)
        : context_{context}, settings_{std::move(settings)}
    {}

    auto handle(transport::http::exchange& exchange) -> transport::http::awaitable<void>;

private:
    auto answer_control(transport::http::exchange& exchange, const std::string& path)
        -> transport::http::awaitable<bool>;
    auto answer_chat(transport::http::exchange& exchange) -> transport::http::awaitable<void>;
    auto stream_tokens(transport::http::exchange& exchange, const Json::Value& body,
                       const std::string& version) -> transport::http::awaitable<void>;
    auto decline(transport::http::exchange& exchange) -> transport::http::awaitable<void>;
    auto answer_call(transport::http::exchange& exchange, const std::string& path)
        -> transport::http::awaitable<void>;
    auto answer_rating(transport::http::exchange& exchange) -> transport::http::awaitable<void>;
    auto answer_order(transport::http::exchange& exchange) -> transport::http::awaitable<void>;
    auto switch_faults(const std::string& body) -> void;
    auto is_loaded(const std::string& version) const -> bool;
    auto first_token_time(const Json::Value& body) -> state::duration;
    auto status_text() const -> std::string;
    auto sleep(state::duration time) -> transport::http::awaitable<void>;

    transport::http::asio::io_context& context_;
    endpoint_settings settings_;
    fault_switches faults_;
    std::int32_t running_{0};
    std::uint64_t newest_fencing_{0};
    std::uint64_t served_{0};
    std::deque<std::uint64_t> cache_;
    /// How often each plain call ran, by its body.
    std::map<std::string, std::uint64_t> runs_;
};

} // namespace buckthorndale::utilities::endpoint_stand_in
