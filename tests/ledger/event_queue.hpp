#pragma once

#include "endivelatch/base/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace endivelatch {

/// Runs scheduled actions in time order on a simulated clock.
class event_queue {
public:
    using action = std::function<void(time_point)>;

    /// Returns the simulated time.
    time_point now() const { return now_; }

    /// Schedules an action. A time in the past counts as now.
    void at(time_point when, action callback)
    {
        actions_.emplace(std::pair{std::max(when, now_), ++last_sequence_}, std::move(callback));
    }

    /// Runs all actions due until `end` and advances the clock to it.
    void run_until(time_point end)
    {
        while (!actions_.empty() && actions_.begin()->first.first <= end) {
            auto node = actions_.extract(actions_.begin());
            now_ = node.key().first;
            node.mapped()(now_);
        }
        now_ = end;
    }

private:
    time_point now_{std::chrono::hours{1}};
    std::uint64_t last_sequence_ = 0;
    std::map<std::pair<time_point, std::uint64_t>, action> actions_;
};

} // namespace endivelatch
