#pragma once

#include "state/units.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

/// Test doubles around the production decision code, in virtual time, for long randomised runs.
namespace buckthorndale::tests::world {

/// Discrete-event scheduler: runs actions in order of due time, those due at the same time in order of entry.
class scheduler {
public:
    using action = std::function<void()>;

    auto after(state::duration delay, action run) -> void
    {
        actions_.emplace(std::pair{now_ + delay, ++last_}, std::move(run));
    }

    auto run_until(state::time_point end) -> void
    {
        while (!actions_.empty() && actions_.begin()->first.first <= end) {
            auto next = actions_.extract(actions_.begin());
            now_ = next.key().first;
            next.mapped()();
        }
        now_ = end;
    }

    auto now() const -> state::time_point { return now_; }

private:
    state::time_point now_{std::chrono::hours{1}};
    std::uint64_t last_{0};
    std::map<std::pair<state::time_point, std::uint64_t>, action> actions_;
};

/// The clock of the decision code; reads the scheduler's virtual time.
class virtual_clock {
public:
    explicit virtual_clock(const scheduler& time) : time_{time} {}

    auto now() const -> state::time_point { return time_.now(); }

    auto wall_now() const -> state::wall_time
    {
        return state::wall_time{
            std::chrono::duration_cast<std::chrono::milliseconds>(time_.now().time_since_epoch())};
    }

private:
    const scheduler& time_;
};

} // namespace buckthorndale::tests::world
