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

/// Parameters of a fleet whose endpoints crash when they begin to answer prompts with a certain part.
struct crashing_part_plan {
    std::uint64_t seed_{1};
    std::size_t instances_{8};
    std::size_t endpoints_{9};
    state::duration duration_{std::chrono::seconds{34}};
    /// Requests a second, at all instances.
    double rate_{25};
    /// The requests with the part, as a share of the others; none if 0.
    double guilty_share_{0.02};
    state::duration guilty_from_{std::chrono::seconds{4}};
    state::duration guilty_for_{std::chrono::seconds{26}};
    /// The position of the part in the prompt: 0 is the first of two that requests share.
    std::size_t guilty_position_{1};
    /// The parts that requests share: few first ones, more second ones.
    std::uint64_t first_parts_{4};
    std::uint64_t second_parts_{30};
    /// How many endpoints crash for another reason, each time, every five seconds or so.
    std::size_t other_crashes_{0};
    /// Whether instances are killed and restarted, one every two seconds or so.
    bool has_restarts_{false};
    double lost_datagrams_{0.02};
};

struct crashing_part_result {
    std::int64_t crashes_by_part_{0};
    /// Requests with the part that an endpoint got later than 3 s after the fifth crash, from instances that
    /// had been running for 3 s.
    std::int64_t late_guilty_sends_{0};
    /// Sound requests later than 6 s after the fifth crash while guilty ones come, and how many were
    /// answered.
    std::int64_t late_sound_{0};
    std::int64_t late_sound_answered_{0};
    /// The same before the first guilty request.
    std::int64_t early_sound_{0};
    std::int64_t early_sound_answered_{0};
    /// Sound requests that were refused as hopeless.
    std::int64_t sound_refused_for_crashes_{0};
};

/// Forward engines that send to the same endpoints and tell each other of crashes, in virtual time.
class crashing_part_fleet {
public:
    explicit crashing_part_fleet(crashing_part_plan plan);
    ~crashing_part_fleet();

    crashing_part_fleet(const crashing_part_fleet&) = delete;
    auto operator=(const crashing_part_fleet&) -> crashing_part_fleet& = delete;

    auto run() -> crashing_part_result;

private:
    struct engine_port;
    struct instance;

    struct fake_endpoint {
        state::endpoint_id id_;
        bool is_up_{true};
        std::uint64_t starts_{0};
    };

    struct attempt {
        std::size_t instance_{0};
        std::uint64_t instance_start_{0};
        std::size_t endpoint_{0};
        std::uint64_t endpoint_start_{0};
        coordination::forwarding::forward_command command_;
        bool is_over_{false};
    };

    struct caller_request {
        bool is_guilty_{false};
        bool is_counted_late_{false};
        bool is_counted_early_{false};
    };

    auto schedule_requests(double rate, bool is_guilty) -> void;
    auto schedule_other_crashes() -> void;
    auto schedule_restarts() -> void;
    auto schedule_tick(std::size_t where) -> void;
    auto start_instance(std::size_t where) -> void;
    auto send_request(bool is_guilty) -> void;
    auto report_blocked_parts(std::size_t where) -> void;
    auto publish() -> void;
    auto dispatch(std::size_t where, const coordination::forwarding::forward_command& command) -> void;
    auto probe(std::size_t where, const state::endpoint_id& endpoint) -> void;
    auto begin_answer(std::size_t number) -> void;
    auto end_answer(std::size_t number) -> void;
    auto crash(std::size_t endpoint) -> void;
    auto end_attempt(std::size_t number, coordination::forwarding::forward_outcome outcome,
                     state::duration delay) -> void;
    auto is_current(const attempt& item) const -> bool;
    auto cancel(state::attempt_handle handle, std::size_t where) -> void;
    auto finish(state::request_handle handle, bool is_answered, const std::string& detail) -> void;
    auto time_until(double mean_seconds) -> state::duration;
    /// Passes a message on to the other instances; datagrams may be lost.
    auto tell_others(std::size_t from, std::function<void(instance&)> deliver) -> void;

    crashing_part_plan plan_;
    scheduler time_;
    virtual_clock clock_{time_};
    coordination::time::seeded_random random_;
    state::time_point started_;
    std::uint64_t ticks_{0};
    std::vector<std::unique_ptr<instance>> instances_;
    std::vector<fake_endpoint> endpoints_;
    std::vector<attempt> attempts_;
    std::map<state::request_handle, caller_request> requests_;
    std::vector<state::time_point> crashes_;
    crashing_part_result result_;
};

} // namespace buckthorndale::tests::world
