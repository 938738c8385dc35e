#pragma once

#include "admission/models.hpp"

namespace endivelatch::models {

/// Settings of the skew model.
struct skew_settings {
    int routers = 8;
    int targets = 24;
    double load_bound = 1.25;
    duration gossip_period = second;
    duration report_decay_time = pool_load::default_decay_time;
    double streams = 20; ///< Mean requests in flight per target at the steady rate.
    std::uint64_t seed = 1;
};

/// Compares the busiest target with the bound of the true total at every start.
struct skew_result {
    int starts = 0;
    int starts_above = 0;      ///< Above the bound of the true total at that moment.
    std::uint32_t excess = 0;  ///< Greatest excess over that bound.
    double worst_ratio = 0;    ///< Greatest count over the rounded-up bound, at a start.
    double steady_ratio = 0;   ///< Greatest count over the mean at any time of the steady phase.
    double mean_in_flight = 0; ///< Per target, at the end of the steady phase.
};

/// Simulates routers that own the targets in turn and gossip their counts. The rate is steady, then
/// three times as high, then drops at once to a fifth of the steady rate. Each request goes to the
/// less loaded of two random targets by the last gossip.
class skew_model {
public:
    explicit skew_model(const skew_settings& settings) : settings_{settings}, random_{settings.seed}
    {
        auto config = engine_pool(settings.targets, 0);
        config.defaults.load_bound = settings.load_bound;
        config.defaults.organisation_cap = 1'000'000;
        admission_settings router_settings;
        router_settings.report_decay_time = settings.report_decay_time;
        for (int n = 0; n < settings.routers; ++n) {
            auto& it = routers_.emplace_back(router_settings);
            it.set_peers_needed(false, now_);
            it.configure(config, now_);
        }
        for (int n = 0; n < settings.targets; ++n) {
            ids_.emplace_back("t" + std::to_string(n));
            owner_of(n).adopt(ids_.back(), {}, now_);
        }
        in_flight_.resize(settings.targets);
        gossiped_.resize(settings.targets);
    }

    skew_result run()
    {
        run_phase(1.0, 120 * second, false);
        run_phase(1.0, 120 * second, true);
        result_.mean_in_flight = static_cast<double>(total_) / settings_.targets;
        run_phase(3.0, 60 * second, false);
        run_phase(0.2, 60 * second, false);
        return result_;
    }

private:
    static constexpr duration mean_time = 18 * second;

    admission& owner_of(int target) { return routers_[target % settings_.routers]; }

    void run_phase(double factor, duration length, bool is_steady)
    {
        const auto rate = factor * settings_.streams * settings_.targets;
        const duration gap{
            static_cast<duration::rep>(static_cast<double>(mean_time.count()) / rate)};
        const auto until = now_ + length;
        auto arrival = now_ + exponential(random_, gap);
        while (now_ < until) {
            now_ = std::min({arrival, gossip_at_, next_end()});
            if (now_ == gossip_at_) {
                gossip();
            }
            else if (now_ == arrival) {
                arrival += exponential(random_, gap);
                arrive();
            }
            else {
                end();
            }
            if (is_steady) {
                const auto mean = static_cast<double>(total_) / settings_.targets;
                const auto busiest = *std::max_element(in_flight_.begin(), in_flight_.end());
                result_.steady_ratio = std::max(result_.steady_ratio, busiest / mean);
            }
        }
    }

    time_point next_end() const { return ends_.empty() ? time_point::max() : ends_.begin()->first; }

    void gossip()
    {
        gossip_at_ += settings_.gossip_period;
        for (int n = 0; n < settings_.targets; ++n) {
            gossiped_[n] = owner_of(n).in_flight(ids_[n]);
            for (auto& it : routers_) {
                apply(it.pool_report(ids_[n], gossiped_[n], now_, now_));
            }
        }
        for (auto& it : routers_) {
            apply(it.tick(now_));
        }
    }

    void arrive()
    {
        const auto a = static_cast<int>(random_.below(settings_.targets));
        const auto b = static_cast<int>(random_.below(settings_.targets));
        const auto chosen = gossiped_[a] <= gossiped_[b] ? a : b;
        admission_request request;
        request.key = {{router_id{"r"}, incarnation{1}, ++last_number_}, attempt{1}};
        request.target = ids_[chosen];
        request.organisation = organisation_id{"o" + std::to_string(last_number_ % 10)};
        request.start_by = now_ + 10 * second;
        apply(owner_of(chosen).submit(request, now_));
    }

    void end()
    {
        const auto [key, target] = ends_.begin()->second;
        ends_.erase(ends_.begin());
        --in_flight_[target];
        --total_;
        apply(owner_of(target).finished(key, 1, now_));
    }

    void apply(const admission_effects& effects)
    {
        for (const auto& it : effects) {
            if (const auto* started = std::get_if<start_run>(&it)) {
                start(*started);
            }
        }
    }

    void start(const start_run& e)
    {
        const auto target = std::stoi(e.target.str().substr(1));
        const auto bound = load_cap(settings_.load_bound, total_, settings_.targets);
        ++total_;
        const auto count = ++in_flight_[target];
        ++result_.starts;
        if (count > bound) {
            ++result_.starts_above;
            result_.excess = std::max(result_.excess, count - bound);
        }
        result_.worst_ratio = std::max(result_.worst_ratio, static_cast<double>(count) / bound);
        ends_.emplace(now_ + exponential(random_, mean_time), std::pair{e.key, target});
    }

    skew_settings settings_;
    random_source random_;
    time_point now_{std::chrono::hours{1}};
    time_point gossip_at_ = now_;
    std::vector<admission> routers_;
    std::vector<target_id> ids_;
    std::vector<std::uint32_t> in_flight_; ///< True counts.
    std::vector<std::uint32_t> gossiped_;  ///< Counts as of the last gossip.
    std::uint64_t total_ = 0;
    std::uint64_t last_number_ = 0;
    std::multimap<time_point, std::pair<attempt_key, int>> ends_;
    skew_result result_;
};

} // namespace endivelatch::models
