#include "policy_measurement/service_trial.hpp"

#include "coordination/roll_out/change_detector.hpp"
#include "coordination/roll_out/sequential_test.hpp"
#include "coordination/time/seeded_random.hpp"

#include <cmath>
#include <deque>

namespace buckthorndale::utilities::policy_measurement {

namespace {

using coordination::roll_out::evidence;

/// The share of bad answers among the newest ones.
class window_test {
public:
    auto add(const evidence& answer) -> void
    {
        answers_.push_back(answer.bad_ > 0);
        bad_ += answer.bad_;
        if (answers_.size() <= length)
            return;
        bad_ -= answers_.front() ? 1 : 0;
        answers_.pop_front();
    }

    auto has_degraded(double usual) const -> bool
    {
        const auto deviation = std::sqrt(usual * (1 - usual) / static_cast<double>(length));
        const auto rate = static_cast<double>(bad_) / static_cast<double>(length);
        return answers_.size() >= length && rate > usual + deviations * deviation;
    }

private:
    static constexpr std::size_t length{200};
    static constexpr double deviations{5.0};

    std::deque<bool> answers_;
    std::int64_t bad_{0};
};

/// One of the tests, by policy.
class service_test {
public:
    service_test(service_policy policy, double usual) : policy_{policy}, usual_{usual} {}

    auto add(const evidence& answer) -> void
    {
        detector_.add(answer);
        window_.add(answer);
        counts_ += answer;
    }

    auto looks_at_all() const -> bool
    {
        return policy_ == service_policy::shipped && detector_.is_suspicious();
    }

    auto has_degraded() const -> bool
    {
        if (policy_ == service_policy::shipped)
            return detector_.has_degraded();
        if (policy_ == service_policy::window)
            return window_.has_degraded(usual_);
        constexpr auto base_answers = 2000.0;
        const auto bad = static_cast<std::int64_t>(base_answers * usual_);
        const auto base = evidence{.good_ = static_cast<std::int64_t>(base_answers) - bad, .bad_ = bad};
        return coordination::roll_out::judge(base, counts_, {}) ==
               coordination::roll_out::sequential_test_verdict::worse;
    }

private:
    service_policy policy_;
    double usual_;
    coordination::roll_out::change_detector detector_;
    window_test window_;
    evidence counts_;
};

} // namespace

auto answers_after_turn(const service_model& model, service_policy policy, std::uint64_t seed, int most)
    -> std::optional<int>
{
    auto random = coordination::time::seeded_random{seed};
    auto test = service_test{policy, model.usual_bad_rate_};
    for (auto answer = 1; answer <= model.answers_before_ + most; ++answer) {
        const auto has_degraded = answer > model.answers_before_;
        const auto rate = model.usual_bad_rate_ + (has_degraded ? model.harm_ : 0.0);
        const auto is_bad = random.chance(rate);
        if (!test.looks_at_all() && !random.chance(model.sample_share_))
            continue;
        test.add(is_bad ? evidence{.bad_ = 1} : evidence{.good_ = 1});
        if (test.has_degraded())
            return has_degraded ? answer - model.answers_before_ : -1;
    }
    return std::nullopt;
}

auto shortest_delay(const service_model& model) -> double
{
    constexpr auto answers_between_false_alarms = 1e8;
    const auto usual = model.usual_bad_rate_;
    const auto turned = std::min(usual + model.harm_, 1.0 - 1e-9);
    const auto information =
        turned * std::log(turned / usual) + (1 - turned) * std::log((1 - turned) / (1 - usual));
    return std::log(answers_between_false_alarms) / information;
}

} // namespace buckthorndale::utilities::policy_measurement
