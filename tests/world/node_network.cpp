#include "world/node_network.hpp"

#include "state/invariant.hpp"
#include "world/node_router.hpp"
#include "world/world_node.hpp"

namespace buckthorndale::tests::world {

using coordination::routing::attempt_ending;
using coordination::routing::ending_kind;
using coordination::routing::release_mode;

namespace {

constexpr auto oldest_order = state::duration{std::chrono::seconds{1}};
constexpr auto rating_time = state::duration{std::chrono::milliseconds{20}};
constexpr auto good_rating = 900;
constexpr auto bad_rating = 300;
/// With fewer, the death of one instance loses the bill.
constexpr auto fewest_safe_holders = std::size_t{2};

} // namespace

auto node_network::open(const submission& request) -> state::request_handle
{
    last_handle_ = last_handle_.next();
    requests_[last_handle_].submission_ = request;
    return last_handle_;
}

auto node_network::open_submissions() const -> std::vector<submission_id>
{
    auto open = std::vector<submission_id>{};
    for (const auto& [handle, request] : requests_)
        open.push_back(request.submission_.id_);
    return open;
}

auto node_network::dispatch(const coordination::routing::attempt_order& order) -> void
{
    auto& attempt = requests_.at(order.request_).attempts_[order.attempt_];
    attempt.order_ = order;
    // The order goes through a ring; a freeze may hold it up there.
    node_.run_later(state::duration{20}, [this, order] { send(order); });
}

auto node_network::send(coordination::routing::attempt_order order) -> void
{
    auto* attempt = find_open(order.request_, order.attempt_);
    if (attempt == nullptr)
        return;
    if (shared_.time_.now() - order.issued_ > oldest_order) {
        shared_.exercised_.count("order-too-old");
        end_attempt(order.request_, order.attempt_, ending_kind::nothing_sent);
        return;
    }
    auto& request = requests_.at(order.request_);
    request.relay_.follow(order.attempt_, order.resume_offset_);
    if (order.resume_offset_ > 0)
        shared_.exercised_.count("resume");
    const auto& description = request.submission_.description_;
    const auto call = endpoint_call{.submission_ = request.submission_.id_,
                                    .workspace_ = description.workspace_,
                                    .request_ = description.id_,
                                    .target_ = order.target_,
                                    .idempotency_key_ = description.idempotency_key_.value_or(""),
                                    .version_ = order.version_,
                                    .offset_ = order.resume_offset_,
                                    .is_poison_ = request.submission_.is_poison_};
    // Events for a router that has died meanwhile must not reach the one that follows it.
    const auto later = [this, life = node_.life(), handle = order.request_,
                        number = order.attempt_](auto then) {
        return [node = &node_, life, handle, number, then](auto... values) {
            node->deliver(life, [handle, number, then, values...] { then(handle, number, values...); });
        };
    };
    const auto events = call_events{
        .on_piece_ =
            later([this](auto handle, auto number, auto offset) { take_piece(handle, number, offset); }),
        .on_end_ = later([this](auto handle, auto number, auto pieces) { take_end(handle, number, pieces); }),
        .on_declined_ = later([this](auto handle, auto number, auto is_leaving) {
            end_attempt(handle, number, ending_kind::declined, is_leaving);
        }),
        .on_refused_connection_ = later(
            [this](auto handle, auto number) { end_attempt(handle, number, ending_kind::nothing_sent); }),
        .on_broken_ = later([this](auto handle, auto number, auto has_crashed) {
            end_attempt(handle, number, has_crashed ? ending_kind::crashed : ending_kind::broken);
        })};
    attempt->last_event_ = shared_.time_.now();
    attempt->endpoint_call_ = node_.find_endpoint(order.endpoint_).call(node_.id().text(), call, events);
    watch_silence(order.request_, order.attempt_);
}

auto node_network::watch_silence(state::request_handle request, state::attempt_handle number) -> void
{
    auto* attempt = find_open(request, number);
    if (attempt == nullptr)
        return;
    const auto limit = attempt->order_.piece_limit_;
    const auto quiet = shared_.time_.now() - attempt->last_event_;
    if (quiet >= limit) {
        shared_.exercised_.count("silent");
        end_attempt(request, number, ending_kind::silent);
        return;
    }
    node_.run_later(limit - quiet, [this, request, number] { watch_silence(request, number); });
}

auto node_network::take_piece(state::request_handle request, state::attempt_handle number,
                              std::uint64_t offset) -> void
{
    using coordination::answer::piece_verdict;
    auto* attempt = find_open(request, number);
    if (attempt == nullptr)
        return;
    attempt->last_event_ = shared_.time_.now();
    auto& owner = requests_.at(request);
    const auto verdict = owner.relay_.judge(number, offset);
    if (verdict == piece_verdict::gap)
        end_attempt(request, number, ending_kind::broken);
    if (verdict != piece_verdict::accept)
        return;
    if (attempt->order_.release_ == release_mode::hold) {
        ++attempt->held_;
        return;
    }
    owner.relay_.mark_released();
    node_.caller().on_piece(owner.submission_.id_, attempt->order_.version_, offset);
    if (std::exchange(attempt->is_released_, true))
        return;
    shared_.note(node_.id().text() + " streaming " + owner.submission_.description_.id_.text());
    router_.engine().released_first_piece(number);
}

auto node_network::take_end(state::request_handle request, state::attempt_handle number, std::uint64_t pieces)
    -> void
{
    auto* attempt = find_open(request, number);
    if (attempt == nullptr)
        return;
    const auto& owner = requests_.at(request);
    const auto is_whole = owner.relay_.is_whole(number, pieces);
    attempt->outcome_ = "ran " + owner.submission_.description_.id_.text();
    end_attempt(request, number, is_whole ? ending_kind::whole : ending_kind::broken);
}

auto node_network::end_attempt(state::request_handle request, state::attempt_handle number, ending_kind kind,
                               bool is_leaving) -> void
{
    auto* attempt = find_open(request, number);
    if (attempt == nullptr)
        return;
    attempt->is_open_ = false;
    shared_.exercised_.count("ending-" + std::string{coordination::routing::to_string(kind)});
    const auto accepted = requests_.at(request).relay_.accepted();
    router_.engine().attempt_ended({.attempt_ = number,
                                    .kind_ = kind,
                                    .tokens_ = state::token_count{static_cast<std::int64_t>(accepted)},
                                    .pieces_accepted_ = accepted,
                                    .is_released_ = attempt->is_released_,
                                    .is_leaving_ = is_leaving});
}

auto node_network::find_open(state::request_handle request, state::attempt_handle number) -> network_attempt*
{
    const auto owner = requests_.find(request);
    if (owner == requests_.end())
        return nullptr;
    const auto found = owner->second.attempts_.find(number);
    const auto is_open = found != owner->second.attempts_.end() && found->second.is_open_;
    return is_open ? &found->second : nullptr;
}

auto node_network::cancel(state::attempt_handle number) -> void
{
    for (auto& [handle, request] : requests_) {
        const auto found = request.attempts_.find(number);
        if (found == request.attempts_.end())
            continue;
        found->second.is_open_ = false;
        node_.find_endpoint(found->second.order_.endpoint_).cancel(found->second.endpoint_call_);
    }
}

auto node_network::claim(state::request_handle request, const state::claim_key& key,
                         state::content_fingerprint content) -> void
{
    shared_.note(node_.id().text() + " claiming " + key.idempotency_key_);
    node_.claim(key, content, [this, request](const coordination::claims::claim_verdict& verdict) {
        const auto found = requests_.find(request);
        if (found != requests_.end())
            found->second.stored_outcome_ = verdict.outcome_.body_;
        router_.engine().claim_settled(request, verdict);
    });
}

auto node_network::abandon_claim(const state::claim_key& key, std::uint64_t nonce) -> void
{
    shared_.exercised_.count("claim-abandoned");
    node_.tell_agent([key, nonce](node_agent& agent) { agent.keeper_abandon(key, nonce); });
}

auto node_network::lose_claim(const state::claim_key& key, std::uint64_t nonce) -> void
{
    shared_.exercised_.count("claim-lost");
    node_.tell_agent([key, nonce](node_agent& agent) { agent.keeper_lose(key, nonce); });
}

auto node_network::finish_claim(const state::claim_key& key, std::uint64_t nonce,
                                state::request_handle request, state::attempt_handle number) -> void
{
    const auto outcome = coordination::claims::call_outcome{
        .status_ = 200, .body_ = requests_.at(request).attempts_.at(number).outcome_};
    node_.tell_agent([key, nonce, outcome](node_agent& agent) { agent.keeper_finish(key, nonce, outcome); });
}

auto node_network::rate(state::request_handle request, state::attempt_handle number) -> void
{
    constexpr auto slow_chance = 0.05;
    constexpr auto bad_chance = 0.4;
    if (shared_.random_.chance(slow_chance)) {
        shared_.exercised_.count("rating-slow");
        return;
    }
    const auto& version = requests_.at(request).attempts_.at(number).order_.version_;
    const auto is_bad = shared_.random_.chance(bad_chance) || version == shared_.faults_.bad_version_;
    const auto rating = state::permille{is_bad ? bad_rating : good_rating};
    node_.run_later(rating_time,
                    [this, request, number, rating] { router_.engine().rated(request, number, rating); });
}

auto node_network::record_bill(state::request_handle request, const state::bill_record& bill) -> void
{
    shared_.note(node_.id().text() + " billing " + bill.key_.request_.text());
    bills_[coordination::billing::id_of(bill)] = request;
    router_.replicator().add(bill, shared_.time_.now());
}

auto node_network::release(state::request_handle request, state::attempt_handle number) -> void
{
    auto& owner = requests_.at(request);
    auto& attempt = owner.attempts_.at(number);
    for (auto offset = std::uint64_t{0}; offset < attempt.held_; ++offset)
        node_.caller().on_piece(owner.submission_.id_, attempt.order_.version_, offset);
}

auto node_network::finish(state::request_handle request, const coordination::routing::answer_summary& summary)
    -> void
{
    const auto found = requests_.extract(request);
    state::verify(!found.empty(), state::guarantee::internal_consistency,
                  "a request must get one final answer");
    const auto& attempt = found.mapped().attempts_.at(summary.attempt_);
    node_.caller().on_finish(found.mapped().submission_.id_, summary, attempt.outcome_);
}

auto node_network::replay(state::request_handle request) -> void
{
    shared_.exercised_.count("replay");
    const auto found = requests_.extract(request);
    node_.caller().on_finish(found.mapped().submission_.id_, {}, found.mapped().stored_outcome_);
}

auto node_network::refuse(state::request_handle request, const coordination::routing::refusal& why) -> void
{
    const auto found = requests_.extract(request);
    state::verify(!found.empty(), state::guarantee::internal_consistency,
                  "a request must get one final answer");
    node_.caller().on_refusal(found.mapped().submission_.id_, why);
}

auto node_network::refresh_configuration() -> void
{
    shared_.exercised_.count("refresh");
    node_.run_later(state::duration{100}, [this] { router_.say_hello(); });
}

auto node_network::announce_suspects(const state::endpoint_id& endpoint,
                                     const std::vector<state::content_fingerprint>& contents) -> void
{
    node_.announce(endpoint, contents, [this, contents](bool is_running_elsewhere) {
        router_.engine().suspects_announced(contents.front(), is_running_elsewhere);
    });
}

auto node_network::announce_cleared(state::content_fingerprint content) -> void
{
    node_.announce_cleared(content);
}

auto node_network::log(const coordination::routing::routing_decision& decision) -> void
{
    shared_.exercised_.count("decision-" + decision.action_);
    shared_.note(node_.id().text() + " " + decision.action_ + " " + decision.request_.text() + " " +
                 decision.choice_ + " " + decision.reason_);
}

auto node_network::send_copy(const state::instance_id& holder, const state::bill_record& record) -> void
{
    node_.send_copy(holder, record);
}

auto node_network::copies_complete(const state::bill_record& record, bool is_degraded) -> void
{
    if (is_degraded)
        shared_.exercised_.count("bill-degraded");
    if (shared_.bill_holders_[record.key_].size() < fewest_safe_holders)
        shared_.lone_bills_.insert(record.key_);
    const auto found = bills_.extract(coordination::billing::id_of(record));
    state::verify(!found.empty(), state::guarantee::billed_once, "a bill must belong to a request");
    router_.engine().bill_recorded(found.mapped());
}

} // namespace buckthorndale::tests::world
