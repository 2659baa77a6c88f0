#include "world/caller_population.hpp"

#include "state/invariant.hpp"
#include "state/stable_hash.hpp"

namespace buckthorndale::tests::world {

namespace {

constexpr auto session_count = std::uint64_t{12};
constexpr auto workspace_count = std::uint64_t{3};
constexpr auto max_submissions = 4;
constexpr auto caller_timeout = state::duration{std::chrono::seconds{20}};
constexpr auto reconnect_delay = state::duration{std::chrono::milliseconds{100}};
constexpr auto min_resend_delay = state::duration{std::chrono::milliseconds{500}};
constexpr auto service_chance = 0.25;
constexpr auto session_chance = 0.4;
constexpr auto poison_chance = 0.01;
/// The probability that a caller submits a request a second time without waiting for the first answer.
constexpr auto duplicate_chance = 0.05;

} // namespace

auto caller_population::begin_request() -> void
{
    auto request = caller_record{.submissions_left_ = max_submissions};
    auto& description = request.description_;
    auto& random = context_.random_;
    const auto number = std::to_string(++last_request_);
    description.id_ = state::request_id{"r" + number};
    description.workspace_ = state::workspace_id{"w" + std::to_string(random.below(workspace_count))};
    description.content_ = state::content_fingerprint{state::stable_hash(number)};
    if (random.chance(service_chance)) {
        description.target_ = state::target_kind::service;
        description.service_ = state::service_name{"register"};
        description.is_repeatable_ = false;
        description.idempotency_key_ = "k" + number;
        description.time_allowed_ = std::chrono::seconds{8};
    } else {
        description.profile_ = state::profile_name{random.chance(0.5) ? "careful" : "quick"};
        request.is_poison_ = random.chance(poison_chance);
        if (!request.is_poison_ && random.chance(session_chance))
            description.session_ = state::session_id{"s" + std::to_string(random.below(session_count))};
    }
    requests_.push_back(request);
    const auto index = requests_.size() - 1;
    submit(index);
    if (random.chance(duplicate_chance)) {
        context_.coverage_.count("impatient-caller");
        submit(index);
    }
}

auto caller_population::begin_poison_request() -> void
{
    auto request = caller_record{.is_poison_ = true, .submissions_left_ = max_submissions};
    const auto number = std::to_string(++last_request_);
    request.description_.id_ = state::request_id{"r" + number};
    request.description_.workspace_ = state::workspace_id{"w0"};
    request.description_.profile_ = state::profile_name{"quick"};
    request.description_.content_ = state::content_fingerprint{state::stable_hash(number)};
    requests_.push_back(request);
    submit(requests_.size() - 1);
}

auto caller_population::submit(std::uint64_t index) -> void
{
    auto& request = requests_.at(index);
    if (request.is_done_ || request.submissions_left_ == 0)
        return;
    --request.submissions_left_;
    context_.coverage_.count("submission");
    const auto id = submission_id{submissions_.size() + 1};
    submissions_.push_back({.id_ = id, .request_ = index});
    open_[id].request_ = index;
    auto& session = request.description_.session_;
    if (!session.is_empty()) {
        const auto pin = pins_.find(session);
        request.description_.pin_ = pin == pins_.end() ? std::nullopt : std::optional{pin->second};
    }
    open_[id].pin_ = request.description_.pin_;
    schedule_timeout(id);
    if (!send_({.id_ = id, .description_ = request.description_, .is_poison_ = request.is_poison_})) {
        open_.erase(id);
        resend_later(index, min_resend_delay);
    }
}

auto caller_population::schedule_timeout(submission_id id) -> void
{
    context_.time_.after(caller_timeout, [this, id] {
        if (open_.contains(id))
            on_disconnect(id);
    });
}

auto caller_population::resend_later(std::uint64_t request, state::duration delay) -> void
{
    context_.time_.after(delay, [this, request] { submit(request); });
}

auto caller_population::on_chunk(submission_id id, const state::version_key& version, std::uint64_t offset)
    -> void
{
    const auto found = open_.find(id);
    if (found == open_.end())
        return;
    auto& open = found->second;
    state::verify(offset == open.chunks_, state::guarantee::whole_answer,
                  "the caller must receive each chunk once and in order");
    state::verify(!open.version_ || *open.version_ == version, state::guarantee::whole_answer,
                  "all chunks of an answer must come from one version");
    open.version_ = version;
    ++open.chunks_;
}

auto caller_population::on_finish(submission_id id, const coordination::routing::answer_summary& summary,
                                  const std::string& outcome) -> void
{
    const auto open = open_.extract(id);
    if (open.empty())
        return;
    auto& request = requests_.at(open.mapped().request_);
    context_.coverage_.count("whole-answer");
    context_.append_trace("finish " + request.description_.id_.text());
    if (request.description_.target_ == state::target_kind::service) {
        state::verify(outcome == "ran " + request.description_.id_.text(), state::guarantee::whole_answer,
                      "the caller must receive the outcome of its own call");
    } else {
        state::verify(open.mapped().chunks_ == chunk_count_of(request.description_.id_),
                      state::guarantee::whole_answer,
                      "an answer that ends without an error must be complete");
        check_session(request, open.mapped().pin_, summary.version_);
        if (summary.pin_)
            pins_[summary.pin_->session_] = *summary.pin_;
    }
    request.is_done_ = true;
    ++request.complete_answers_;
}

auto caller_population::check_session(const caller_record& request,
                                      const std::optional<state::session_pin>& carried,
                                      const state::version_key& version) -> void
{
    const auto& description = request.description_;
    if (!carried || carried->version_ == version)
        return;
    // A session may only leave a version that was withdrawn or is not listed in the profile.
    auto was_withdrawn = false;
    for (const auto& change : context_.platform_.changes()) {
        const auto* settings = std::get_if<state::version_settings>(&change.content_);
        was_withdrawn = was_withdrawn || (settings != nullptr && settings->key_ == carried->version_ &&
                                          settings->state_ == state::version_state::withdrawn);
    }
    const auto is_listed =
        description.profile_.text() == "careful" || carried->version_.model_.text() == "small";
    state::verify(was_withdrawn || !is_listed, state::guarantee::session_keeps_version,
                  "a session must keep its version until the version is withdrawn");
    context_.coverage_.count("session-moved");
}

auto caller_population::on_refusal(submission_id id, const coordination::routing::refusal& why) -> void
{
    using coordination::routing::run_state;
    const auto open = open_.extract(id);
    if (open.empty())
        return;
    const auto request = open.mapped().request_;
    context_.coverage_.count("refusal-" + std::string{state::to_string(why.kind_)} +
                             (why.run_ == run_state::not_run ? "-not-run" : "-unknown"));
    context_.append_trace("refused " + requests_.at(request).description_.id_.text());
    if (why.run_ == run_state::not_run)
        submissions_.at(id.value() - 1).was_told_not_run_ = true;
    resend_later(request, std::max(why.retry_after_, min_resend_delay));
}

auto caller_population::on_disconnect(submission_id id) -> void
{
    const auto open = open_.extract(id);
    if (open.empty())
        return;
    context_.coverage_.count("caller-saw-break");
    resend_later(open.mapped().request_, reconnect_delay);
}

} // namespace buckthorndale::tests::world
