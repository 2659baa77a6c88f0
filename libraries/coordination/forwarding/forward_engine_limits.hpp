#pragma once

// Part of forward_engine.hpp: how much endpoints state to take, and messages about it between instances.

#include "coordination/forwarding/forward_engine.hpp"

#include <string>
#include <utility>

namespace buckthorndale::coordination::forwarding {

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::apply_stated_rates(const state::registered_endpoint& endpoint,
                                                             const endpoint_notice& notice) -> void
{
    const auto now = clock_.now();
    if (!notice.invalid_value_.empty())
        port_.log(forward_log{.action_ = "endpoint_value_skipped",
                              .endpoint_ = endpoint.id_,
                              .reason_ = "the endpoint states '" + notice.invalid_value_ + "'",
                              .generation_ = table_->generation_});
    if (notice.cold_left_ && pool_.cold().record_stated(endpoint, *notice.cold_left_, now))
        port_.log(forward_log{.action_ = "endpoints_cold",
                              .endpoint_ = endpoint.id_,
                              .reason_ = "stated in a response",
                              .generation_ = table_->generation_});
    if (notice.max_declines_)
        pool_.brittle().record_answer(endpoint, *notice.max_declines_, now);
    if (!notice.limit_)
        return;
    const auto news = pool_.limits().record_answer(endpoint, *notice.limit_, now);
    if (!news)
        return;
    log_limit(*news, "stated in a response");
    port_.announce_limits({.limits_ = {*news}});
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::log_limit(const limit_news& news, const std::string& source) -> void
{
    const auto text = news.rate_ > 0 ? std::to_string(news.rate_) + " requests a second" : "no limit";
    port_.log(forward_log{.action_ = "endpoint_limit",
                          .endpoint_ = news.endpoint_,
                          .reason_ = text + ", " + source,
                          .generation_ = table_->generation_});
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::record_cold_endpoints(
    const std::vector<state::registered_endpoint>& endpoints) -> void
{
    const auto now = clock_.now();
    auto cold = std::size_t{0};
    auto last = state::endpoint_id{};
    for (const auto& endpoint : endpoints) {
        if (!pool_.cold().record_listed(endpoint, now))
            continue;
        ++cold;
        last = endpoint.id_;
    }
    pool_.cold().retain(endpoints);
    pool_.cold().finish_listing();
    // Endpoints of a data centre turn cold together, and one line tells of them all.
    if (cold > 0)
        port_.log(forward_log{.action_ = "endpoints_cold",
                              .endpoint_ = last,
                              .reason_ = std::to_string(cold) + " by their entries, " +
                                         std::to_string(pool_.cold().size(now)) + " in all",
                              .generation_ = table_->generation_});
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::update_emptied_data_centres(
    std::set<state::data_centre_id> data_centres) -> void
{
    const auto before = pool_.emptied();
    pool_.set_emptied(std::move(data_centres));
    has_emptied_data_centres_ = true;
    const auto log_change = [this](const state::data_centre_id& data_centre, std::string action) {
        port_.log(forward_log{.action_ = std::move(action),
                              .reason_ = "data centre " + data_centre.text() + ", " +
                                         std::to_string(pool_.endpoints_in(data_centre).size()) +
                                         " endpoints, " + std::to_string(pool_.in_flight_at_emptied()) +
                                         " requests run at emptied ones",
                              .generation_ = table_->generation_});
    };
    for (const auto& data_centre : pool_.emptied()) {
        if (!before.contains(data_centre))
            log_change(data_centre, "data_centre_emptied");
    }
    for (const auto& data_centre : before) {
        if (pool_.emptied().contains(data_centre))
            continue;
        log_change(data_centre, "data_centre_given_back");
        // Endpoints may have become cold while they got nothing, and their entries lag behind.
        for (const auto* endpoint : pool_.endpoints_in(data_centre))
            pool_.cold().assume_cold(*endpoint, clock_.now());
    }
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::announce_decline(const running_attempt& attempt) -> void
{
    const auto* endpoint = pool_.find(attempt.endpoint_);
    if (endpoint == nullptr)
        return;
    if (const auto news = pool_.brittle().record_decline(*endpoint, clock_.now(), draw()))
        port_.announce_limits({.declines_ = {*news}});
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::receive_limits(const state::instance_id& from,
                                                         const limit_message& message) -> void
{
    const auto now = clock_.now();
    auto reply = limit_message{};
    for (const auto& news : message.limits_) {
        const auto* endpoint = pool_.find(news.endpoint_);
        if (endpoint == nullptr || endpoint->incarnation_ != news.incarnation_)
            continue;
        const auto was_limited = pool_.limits().is_limited(*endpoint);
        if (const auto newer = pool_.limits().record_news(news, now))
            reply.limits_.push_back(*newer);
        if (pool_.limits().is_limited(*endpoint) != was_limited)
            log_limit(news, "from " + from.text());
    }
    for (const auto& wanted : message.wanted_permits_) {
        if (const auto permits = pool_.permits_of(wanted.endpoint_).hand_over(wanted, now))
            reply.permits_.push_back(*permits);
    }
    for (const auto& permits : message.permits_)
        pool_.permits_of(permits.endpoint_).receive(permits, now);
    for (const auto& news : message.declines_) {
        const auto* endpoint = pool_.find(news.endpoint_);
        if (endpoint != nullptr && endpoint->incarnation_ == news.incarnation_)
            pool_.brittle().record_news(*endpoint, news, now, draw());
    }
    if (!reply.is_empty())
        port_.send_limits(from, reply);
}

} // namespace buckthorndale::coordination::forwarding
