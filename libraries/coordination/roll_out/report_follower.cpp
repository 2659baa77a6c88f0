#include "coordination/roll_out/report_follower.hpp"

namespace buckthorndale::coordination::roll_out {

auto report_follower::follow(const evidence_report& report) -> std::vector<version_counts>
{
    if (!is_known_source(report)) {
        source_ = report.source_;
        life_ = report.life_;
        last_counts_.clear();
        for (const auto& item : report.counts_)
            last_counts_[item.version_] = item.counts_;
        return {};
    }
    auto increments = std::vector<version_counts>{};
    for (const auto& item : report.counts_) {
        auto& last = last_counts_[item.version_];
        if (item.counts_.total() <= last.total())
            continue;
        increments.push_back(
            {.version_ = item.version_,
             .counts_ = {.good_ = item.counts_.good_ - last.good_, .bad_ = item.counts_.bad_ - last.bad_}});
        last = item.counts_;
    }
    return increments;
}

auto report_follower::is_known_source(const evidence_report& report) const -> bool
{
    return source_ == report.source_ && life_ == report.life_;
}

} // namespace buckthorndale::coordination::roll_out
