#include "endivelatch/admission/ownership_lease.hpp"

#include <algorithm>

namespace endivelatch {

void ownership_lease::renew(time_point sent_at)
{
    confirmed_at_ = confirmed_at_ ? std::max(*confirmed_at_, sent_at) : sent_at;
}

admission_share ownership_lease::current_share(time_point now)
{
    const auto is_confirmed = confirmed_at_ && now <= *confirmed_at_ + settings_.length;
    if (!peers_needed_ || is_confirmed) {
        lapse_noticed_at_.reset();
        return admission_share::full;
    }
    if (!lapse_noticed_at_) {
        lapse_noticed_at_ = now;
    }
    return now < *lapse_noticed_at_ + settings_.wait ? admission_share::none
                                                     : admission_share::reduced;
}

std::optional<time_point> ownership_lease::next_change(time_point now) const
{
    std::optional<time_point> change;
    if (peers_needed_ && lapse_noticed_at_) {
        change = *lapse_noticed_at_ + settings_.wait;
    }
    else if (peers_needed_ && confirmed_at_) {
        change = *confirmed_at_ + settings_.length + duration{1};
    }
    return change && *change > now ? change : std::nullopt;
}

} // namespace endivelatch
