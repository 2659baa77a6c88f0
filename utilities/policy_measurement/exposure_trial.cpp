#include "policy_measurement/exposure_trial.hpp"

#include "coordination/roll_out/evidence.hpp"
#include "coordination/time/seeded_random.hpp"

#include <vector>

namespace buckthorndale::utilities::policy_measurement {

auto answers_until_halt(const exposure_model& model,
                        const coordination::roll_out::sequential_test_settings& settings, std::uint64_t seed,
                        int most) -> std::optional<int>
{
    using coordination::roll_out::evidence;
    using coordination::roll_out::judge;
    using coordination::roll_out::sequential_test_verdict;
    constexpr auto base_answers = 2000.0;
    auto random = coordination::time::seeded_random{seed};
    const auto base_bad = static_cast<std::int64_t>(base_answers * model.base_bad_rate_);
    const auto base = evidence{.good_ = static_cast<std::int64_t>(base_answers) - base_bad, .bad_ = base_bad};
    auto shared = evidence{};
    auto own = std::vector<evidence>(static_cast<std::size_t>(model.routers_));
    for (auto answer = 1; answer <= most; ++answer) {
        auto& counts = own[random.below(own.size())];
        ++(random.chance(model.base_bad_rate_ + model.harm_) ? counts.bad_ : counts.good_);
        if (answer % model.answers_between_exchanges_ != 0)
            continue;
        for (auto& part : own) {
            shared += part;
            part = {};
        }
        if (judge(base, shared, settings) == sequential_test_verdict::worse)
            return answer;
    }
    return std::nullopt;
}

} // namespace buckthorndale::utilities::policy_measurement
