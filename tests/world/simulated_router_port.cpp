#include "world/simulated_router_port.hpp"

#include "state/invariant.hpp"
#include "world/simulated_instance.hpp"
#include "world/simulated_router.hpp"

namespace buckthorndale::tests::world {

using coordination::routing::attempt_result;
using coordination::routing::attempt_result_kind;
using coordination::routing::release_mode;

namespace {

constexpr auto max_order_age = state::duration{std::chrono::seconds{1}};
constexpr auto rating_delay = state::duration{std::chrono::milliseconds{20}};
constexpr auto good_rating = 900;
constexpr auto bad_rating = 300;
/// With fewer holders, the failure of one instance loses the bill.
constexpr auto min_safe_holders = std::size_t{2};

} // namespace

auto simulated_router_port::open(const submission& request) -> state::request_handle
{
    last_handle_ = last_handle_.next();
    requests_[last_handle_].submission_ = request;
    return last_handle_;
}

auto simulated_router_port::open_submissions() const -> std::vector<submission_id>
{
    auto open = std::vector<submission_id>{};
    for (const auto& [handle, request] : requests_)
        open.push_back(request.submission_.id_);
    return open;
}

auto simulated_router_port::dispatch(const coordination::routing::attempt_command& order) -> void
{
    auto& attempt = requests_.at(order.request_).attempts_[order.attempt_];
    attempt.order_ = order;
    // Orders pass through a ring, where a freeze may delay them.
    instance_.run_later(state::duration{20}, [this, order] { send(order); });
}

auto simulated_router_port::send(coordination::routing::attempt_command order) -> void
{
    auto* attempt = find_open(order.request_, order.attempt_);
    if (attempt == nullptr)
        return;
    if (context_.time_.now() - order.issued_ > max_order_age) {
        context_.coverage_.count("order-too-old");
        end_attempt(order.request_, order.attempt_, attempt_result_kind::nothing_sent);
        return;
    }
    auto& request = requests_.at(order.request_);
    request.relay_.switch_to(order.attempt_, order.resume_offset_);
    if (order.resume_offset_ > 0)
        context_.coverage_.count("resume");
    const auto& description = request.submission_.description_;
    const auto call = endpoint_call{.submission_ = request.submission_.id_,
                                    .workspace_ = description.workspace_,
                                    .request_ = description.id_,
                                    .target_ = order.target_,
                                    .idempotency_key_ = description.idempotency_key_.value_or(""),
                                    .version_ = order.version_,
                                    .offset_ = order.resume_offset_,
                                    .is_poison_ = request.submission_.is_poison_};
    // Events for a router that was restarted meanwhile must not reach the new one.
    const auto bind_event = [this, incarnation = instance_.incarnation(), handle = order.request_,
                             number = order.attempt_](auto handler) {
        return [instance = &instance_, incarnation, handle, number, handler](auto... values) {
            instance->deliver(incarnation,
                              [handle, number, handler, values...] { handler(handle, number, values...); });
        };
    };
    const auto events =
        call_events{.on_chunk_ = bind_event([this](auto handle, auto number, auto offset) {
                        receive_chunk(handle, number, offset);
                    }),
                    .on_end_ = bind_event([this](auto handle, auto number, auto chunks) {
                        receive_end(handle, number, chunks);
                    }),
                    .on_declined_ = bind_event([this](auto handle, auto number, auto is_leaving) {
                        end_attempt(handle, number, attempt_result_kind::declined, is_leaving);
                    }),
                    .on_refused_connection_ = bind_event([this](auto handle, auto number) {
                        end_attempt(handle, number, attempt_result_kind::nothing_sent);
                    }),
                    .on_broken_ = bind_event([this](auto handle, auto number, auto has_crashed) {
                        end_attempt(handle, number,
                                    has_crashed ? attempt_result_kind::crashed : attempt_result_kind::broken);
                    })};
    attempt->last_event_ = context_.time_.now();
    attempt->endpoint_call_ =
        instance_.find_endpoint(order.endpoint_).call(instance_.id().text(), call, events);
    check_idle_timeout(order.request_, order.attempt_);
}

auto simulated_router_port::check_idle_timeout(state::request_handle request, state::attempt_handle number)
    -> void
{
    auto* attempt = find_open(request, number);
    if (attempt == nullptr)
        return;
    const auto limit = attempt->order_.chunk_timeout_;
    const auto idle_time = context_.time_.now() - attempt->last_event_;
    if (idle_time >= limit) {
        context_.coverage_.count("silent");
        end_attempt(request, number, attempt_result_kind::silent);
        return;
    }
    instance_.run_later(limit - idle_time, [this, request, number] { check_idle_timeout(request, number); });
}

auto simulated_router_port::receive_chunk(state::request_handle request, state::attempt_handle number,
                                          std::uint64_t offset) -> void
{
    using coordination::answer::chunk_verdict;
    auto* attempt = find_open(request, number);
    if (attempt == nullptr)
        return;
    attempt->last_event_ = context_.time_.now();
    auto& owner = requests_.at(request);
    const auto verdict = owner.relay_.judge(number, offset);
    if (verdict == chunk_verdict::gap)
        end_attempt(request, number, attempt_result_kind::broken);
    if (verdict != chunk_verdict::accept)
        return;
    if (attempt->order_.release_ == release_mode::hold) {
        ++attempt->held_chunks_;
        return;
    }
    owner.relay_.mark_released();
    instance_.caller().on_chunk(owner.submission_.id_, attempt->order_.version_, offset);
    if (std::exchange(attempt->is_released_, true))
        return;
    context_.append_trace(instance_.id().text() + " streaming " + owner.submission_.description_.id_.text());
    router_.engine().first_chunk_released(number);
}

auto simulated_router_port::receive_end(state::request_handle request, state::attempt_handle number,
                                        std::uint64_t chunks) -> void
{
    auto* attempt = find_open(request, number);
    if (attempt == nullptr)
        return;
    const auto& owner = requests_.at(request);
    const auto is_complete = owner.relay_.is_complete(number, chunks);
    attempt->outcome_ = "ran " + owner.submission_.description_.id_.text();
    end_attempt(request, number, is_complete ? attempt_result_kind::complete : attempt_result_kind::broken);
}

auto simulated_router_port::end_attempt(state::request_handle request, state::attempt_handle number,
                                        attempt_result_kind kind, bool is_leaving) -> void
{
    auto* attempt = find_open(request, number);
    if (attempt == nullptr)
        return;
    attempt->is_open_ = false;
    context_.coverage_.count("ending-" + std::string{coordination::routing::to_string(kind)});
    const auto accepted = requests_.at(request).relay_.accepted();
    router_.engine().attempt_ended({.attempt_ = number,
                                    .kind_ = kind,
                                    .tokens_ = state::token_count{static_cast<std::int64_t>(accepted)},
                                    .chunks_accepted_ = accepted,
                                    .is_released_ = attempt->is_released_,
                                    .is_leaving_ = is_leaving});
}

auto simulated_router_port::find_open(state::request_handle request, state::attempt_handle number)
    -> network_attempt*
{
    const auto owner = requests_.find(request);
    if (owner == requests_.end())
        return nullptr;
    const auto found = owner->second.attempts_.find(number);
    const auto is_open = found != owner->second.attempts_.end() && found->second.is_open_;
    return is_open ? &found->second : nullptr;
}

auto simulated_router_port::cancel(state::attempt_handle number) -> void
{
    for (auto& [handle, request] : requests_) {
        const auto found = request.attempts_.find(number);
        if (found == request.attempts_.end())
            continue;
        found->second.is_open_ = false;
        instance_.find_endpoint(found->second.order_.endpoint_).cancel(found->second.endpoint_call_);
    }
}

auto simulated_router_port::claim(state::request_handle request, const state::claim_key& key,
                                  state::content_fingerprint content) -> void
{
    context_.append_trace(instance_.id().text() + " claiming " + key.idempotency_key_);
    instance_.claim(key, content, [this, request](const coordination::claims::claim_verdict& verdict) {
        const auto found = requests_.find(request);
        if (found != requests_.end())
            found->second.stored_outcome_ = verdict.outcome_.body_;
        router_.engine().claim_settled(request, verdict);
    });
}

auto simulated_router_port::abandon_claim(const state::claim_key& key, std::uint64_t nonce) -> void
{
    context_.coverage_.count("claim-abandoned");
    instance_.send_to_agent([key, nonce](simulated_agent& agent) { agent.keeper_abandon(key, nonce); });
}

auto simulated_router_port::lose_claim(const state::claim_key& key, std::uint64_t nonce) -> void
{
    context_.coverage_.count("claim-lost");
    instance_.send_to_agent([key, nonce](simulated_agent& agent) { agent.keeper_lose(key, nonce); });
}

auto simulated_router_port::finish_claim(const state::claim_key& key, std::uint64_t nonce,
                                         state::request_handle request, state::attempt_handle number) -> void
{
    const auto outcome = coordination::claims::call_outcome{
        .status_ = 200, .body_ = requests_.at(request).attempts_.at(number).outcome_};
    instance_.send_to_agent(
        [key, nonce, outcome](simulated_agent& agent) { agent.keeper_finish(key, nonce, outcome); });
}

auto simulated_router_port::rate(state::request_handle request, state::attempt_handle number) -> void
{
    constexpr auto slow_chance = 0.05;
    constexpr auto bad_chance = 0.4;
    if (context_.random_.chance(slow_chance)) {
        context_.coverage_.count("rating-slow");
        return;
    }
    const auto& version = requests_.at(request).attempts_.at(number).order_.version_;
    const auto is_bad = context_.random_.chance(bad_chance) || version == context_.faults_.bad_version_;
    const auto rating = state::permille{is_bad ? bad_rating : good_rating};
    instance_.run_later(rating_delay, [this, request, number, rating] {
        router_.engine().rating_received(request, number, rating);
    });
}

auto simulated_router_port::record_bill(state::request_handle request, const state::bill_record& bill) -> void
{
    context_.append_trace(instance_.id().text() + " billing " + bill.key_.request_.text());
    bills_[coordination::billing::id_of(bill)] = request;
    router_.replicator().add(bill, context_.time_.now());
}

auto simulated_router_port::release(state::request_handle request, state::attempt_handle number) -> void
{
    auto& owner = requests_.at(request);
    auto& attempt = owner.attempts_.at(number);
    for (auto offset = std::uint64_t{0}; offset < attempt.held_chunks_; ++offset)
        instance_.caller().on_chunk(owner.submission_.id_, attempt.order_.version_, offset);
}

auto simulated_router_port::finish(state::request_handle request,
                                   const coordination::routing::answer_summary& summary) -> void
{
    const auto found = requests_.extract(request);
    state::verify(!found.empty(), state::guarantee::internal_consistency,
                  "a request must receive exactly one final answer");
    const auto& attempt = found.mapped().attempts_.at(summary.attempt_);
    instance_.caller().on_finish(found.mapped().submission_.id_, summary, attempt.outcome_);
}

auto simulated_router_port::replay(state::request_handle request) -> void
{
    context_.coverage_.count("replay");
    const auto found = requests_.extract(request);
    instance_.caller().on_finish(found.mapped().submission_.id_, {}, found.mapped().stored_outcome_);
}

auto simulated_router_port::refuse(state::request_handle request, const coordination::routing::refusal& why)
    -> void
{
    const auto found = requests_.extract(request);
    state::verify(!found.empty(), state::guarantee::internal_consistency,
                  "a request must receive exactly one final answer");
    instance_.caller().on_refusal(found.mapped().submission_.id_, why);
}

auto simulated_router_port::refresh_configuration() -> void
{
    context_.coverage_.count("refresh");
    instance_.run_later(state::duration{100}, [this] { router_.poll_agent(); });
}

auto simulated_router_port::announce_suspects(const state::endpoint_id& endpoint,
                                              const std::vector<state::content_fingerprint>& contents) -> void
{
    instance_.announce(endpoint, contents, [this, contents](bool is_running_elsewhere) {
        router_.engine().suspects_announced(contents.front(), is_running_elsewhere);
    });
}

auto simulated_router_port::announce_cleared(state::content_fingerprint content) -> void
{
    instance_.announce_cleared(content);
}

auto simulated_router_port::log(const coordination::routing::routing_decision& decision) -> void
{
    context_.coverage_.count("decision-" + decision.action_);
    context_.append_trace(instance_.id().text() + " " + decision.action_ + " " + decision.request_.text() +
                          " " + decision.choice_ + " " + decision.reason_);
}

auto simulated_router_port::send_copy(const state::instance_id& holder, const state::bill_record& record)
    -> void
{
    instance_.send_copy(holder, record);
}

auto simulated_router_port::copies_complete(const state::bill_record& record, bool is_degraded) -> void
{
    if (is_degraded)
        context_.coverage_.count("bill-degraded");
    if (context_.bill_holders_[record.key_].size() < min_safe_holders)
        context_.single_holder_bills_.insert(record.key_);
    const auto found = bills_.extract(coordination::billing::id_of(record));
    state::verify(!found.empty(), state::guarantee::billed_once, "a bill must belong to a request");
    router_.engine().bill_recorded(found.mapped());
}

} // namespace buckthorndale::tests::world
