#pragma once

#include "coordination/forwarding/forward_engine.hpp"
#include "coordination/time/seeded_random.hpp"
#include "world/scheduler.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace buckthorndale::tests::world {

/// What happens to the links between an instance and endpoints that are cut.
enum class link_cut : std::uint8_t {
    /// Open connections are reset, and new ones refused.
    reset,
    /// Nothing arrives any more.
    hang,
    /// Open connections live on, and new ones are refused.
    live_on,
    /// Open connections fall silent; new ones are accepted and carry nothing.
    accept_silent,
    /// Open connections are reset; new ones are accepted, and reset once a request was sent.
    accept_reset,
    /// Requests arrive and run, on new connections too, but no answer comes back.
    answers_lost,
};

/// Parameters of a fleet of which some instances are cut off from endpoints.
struct cut_off_plan {
    std::uint64_t seed_{1};
    std::size_t instances_{8};
    std::size_t data_centres_{3};
    std::size_t endpoints_{9};
    /// Requests a second, at all instances.
    double rate_{40};
    link_cut kind_{link_cut::reset};
    /// The instances that are cut off: the first ones, or those of the first data centre.
    std::size_t cut_instances_{5};
    bool is_whole_data_centre_{false};
    /// The endpoints that they do not reach: the first ones.
    std::size_t cut_endpoints_{9};
    /// Whether the endpoints of the first data centre stay reachable for its instances, as when that data
    /// centre is cut off from all others.
    bool keeps_own_endpoints_{false};
    /// Whether prompts of requests share parts, so that most go to endpoints of other data centres.
    bool has_shared_prompts_{false};
    /// Whether the last instance is suspended in the middle of the cut, for three seconds.
    bool has_suspension_{false};
    state::duration cut_from_{std::chrono::seconds{5}};
    state::duration cut_for_{std::chrono::seconds{12}};
    state::duration duration_{std::chrono::seconds{24}};
};

struct cut_off_result {
    /// Requests from 3 s after the cut began until it ends, at the instances that are cut off and the others.
    std::int64_t cut_sent_{0};
    std::int64_t cut_answered_{0};
    std::int64_t cut_in_time_{0};
    /// The same in the first three seconds of the cut.
    std::int64_t early_sent_{0};
    std::int64_t early_answered_{0};
    std::int64_t other_sent_{0};
    std::int64_t other_answered_{0};
    /// Requests at all instances from 3 s after the end of the cut on, and those passed on to another one.
    std::int64_t late_sent_{0};
    std::int64_t late_answered_{0};
    std::int64_t late_passed_on_{0};
    /// Requests that may run once and ran more often.
    std::int64_t repeated_runs_{0};
    /// Endpoints that were reported to have crashed; none has.
    std::int64_t reported_crashes_{0};
    /// Requests passed on to another instance.
    std::int64_t passed_on_{0};
    /// Bad answers that instances which were cut off held against the version; it is sound.
    std::int64_t bad_answers_{0};
};

/// Forward engines of which some lose their links to the endpoints, in virtual time.
class cut_off_fleet {
public:
    explicit cut_off_fleet(cut_off_plan plan);
    ~cut_off_fleet();

    cut_off_fleet(const cut_off_fleet&) = delete;
    auto operator=(const cut_off_fleet&) -> cut_off_fleet& = delete;

    auto run() -> cut_off_result;

private:
    struct engine_port;
    struct instance;

    struct attempt {
        std::size_t instance_{0};
        std::size_t endpoint_{0};
        coordination::forwarding::forward_command command_;
        bool is_over_{false};
        /// Whether the endpoint has the request and the answer can still arrive.
        bool is_connected_{false};
    };

    struct caller_request {
        std::size_t instance_{0};
        state::time_point arrived_;
        bool is_repeatable_{false};
        bool is_over_{false};
        int runs_{0};
    };

    auto schedule_requests() -> void;
    auto schedule_tick(std::size_t where) -> void;
    auto send_request() -> void;
    auto prompt_of(state::request_handle handle) const -> std::vector<coordination::forwarding::prompt_part>;
    auto is_cut(std::size_t where, std::size_t endpoint) const -> bool;
    auto is_cut_instance(std::size_t where) const -> bool;
    /// Whether a request that arrives then counts as one after the cut.
    auto is_late(state::time_point time) const -> bool;
    auto cut_links() -> void;
    auto count_bad_answers() -> void;
    auto dispatch(std::size_t where, const coordination::forwarding::forward_command& command) -> void;
    auto end_attempt(std::size_t number, coordination::forwarding::forward_outcome outcome) -> void;
    auto cancel(std::size_t where, state::attempt_handle handle) -> void;
    auto finish(state::request_handle handle, bool is_answered, bool may_have_run) -> void;
    auto peers_of(std::size_t where) const -> std::vector<coordination::forwarding::relay_peer>;
    /// Hands a request over to the instance that its command names.
    auto pass_on(std::size_t number) -> void;
    /// The caller's request behind one that may have been passed on.
    auto origin_of(state::request_handle handle) const -> state::request_handle;
    auto probe(std::size_t where, const state::endpoint_id& endpoint) -> void;
    auto time_until(double mean_seconds) -> state::duration;

    cut_off_plan plan_;
    scheduler time_;
    virtual_clock clock_{time_};
    coordination::time::seeded_random random_;
    state::time_point started_;
    bool is_cut_now_{false};
    bool is_last_suspended_{false};
    std::vector<std::unique_ptr<instance>> instances_;
    std::vector<state::registered_endpoint> endpoints_;
    std::vector<attempt> attempts_;
    std::map<state::request_handle, caller_request> requests_;
    /// The attempt behind each request that was passed on.
    std::map<state::request_handle, std::size_t> passed_on_;
    cut_off_result result_;
};

} // namespace buckthorndale::tests::world
