#include "endivelatch/traffic/organisation_usage.hpp"

#include "endivelatch/base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace endivelatch {

namespace {

/// Shorter times are not worth an update of all records.
constexpr duration min_ageing_time{10'000};
/// Records below this work per second are removed, in ms.
constexpr double negligible_work = 1e-3;

double to_seconds(duration time)
{
    return std::chrono::duration<double>{time}.count();
}

/// Returns the factor by which the weight of work falls within the given time.
double decay(duration elapsed, duration lifetime)
{
    return std::exp(-to_seconds(elapsed) / to_seconds(lifetime));
}

double mix(double own, double other)
{
    return own + (other - own) * organisation_usage::merge_weight;
}

} // namespace

void organisation_usage::record_arrival(const organisation_id& organisation, double work_ms,
                                        time_point now)
{
    record_of(key_of(organisation), now).own.asked += work_ms / to_seconds(own_time);
}

void organisation_usage::record_service(const organisation_id& organisation, double work_ms,
                                        time_point now)
{
    record_of(key_of(organisation), now).own.served += work_ms / to_seconds(own_time);
}

organisation_usage::record& organisation_usage::record_of(organisation_key organisation,
                                                          time_point now)
{
    age(now);
    if (records_.size() >= max_tracked && !records_.contains(organisation)) {
        records_.erase(
            std::min_element(records_.begin(), records_.end(), [](const auto& a, const auto& b) {
                return a.second.mean.asked < b.second.mean.asked;
            }));
    }
    return records_[organisation];
}

void organisation_usage::age(time_point now)
{
    started_at_ = started_at_.value_or(now);
    const auto elapsed = now - aged_at_.value_or(now);
    if (aged_at_ && elapsed < min_ageing_time) {
        return;
    }
    aged_at_ = now;
    usual_learnt_for_ += level_ ? duration{} : elapsed;
    const auto own = decay(elapsed, own_time);
    const auto mean = 1 - decay(elapsed, mean_time);
    const auto usual = level_ ? 0 : 1 - decay(elapsed, usual_time);
    for (auto& [organisation, it] : records_) {
        it.own.asked *= own;
        it.own.served *= own;
        it.mean.asked += (it.own.asked - it.mean.asked) * mean;
        it.mean.served += (it.own.served - it.mean.served) * mean;
        it.usual += (it.mean.asked - it.usual) * usual;
    }
    std::erase_if(records_, [](const auto& it) {
        return std::max({it.second.own.asked, it.second.mean.asked, it.second.usual}) <
               negligible_work;
    });
}

double organisation_usage::weight_of(const record& it) const
{
    constexpr double equal_weight = 1;
    return knows_usual() ? std::max(it.usual, min_weight_) : equal_weight;
}

void organisation_usage::update_level(time_point now)
{
    age(now);
    if (level_at_ && now - *level_at_ < update_interval) {
        return;
    }
    level_at_ = now;
    level_.reset();
    double asked = 0;
    double room = 0;
    double usual = 0;
    std::vector<const record*> all;
    for (const auto& [organisation, it] : records_) {
        all.push_back(&it);
        asked += it.mean.asked;
        room += it.mean.served;
        usual += it.usual;
    }
    if (all.empty() || room >= asked * served_share) {
        return;
    }
    min_weight_ = knows_usual() ? usual / static_cast<double>(all.size()) : 0;
    double weights = 0;
    for (const auto* it : all) {
        weights += weight_of(*it);
    }
    std::sort(all.begin(), all.end(), [&](const auto* a, const auto* b) {
        return a->mean.asked / weight_of(*a) < b->mean.asked / weight_of(*b);
    });
    for (const auto* it : all) {
        const auto weight = weight_of(*it);
        if (it->mean.asked * weights > room * weight) {
            level_ = room / weights;
            return;
        }
        room -= it->mean.asked;
        weights -= weight;
    }
}

double organisation_usage::excess(const organisation_id& organisation, time_point now)
{
    update_level(now);
    const auto it = records_.find(key_of(organisation));
    if (!level_ || it == records_.end() || it->second.mean.asked <= 0) {
        return 0;
    }
    return std::max(0.0, 1 - *level_ * weight_of(it->second) / it->second.mean.asked);
}

bool organisation_usage::is_excess(const organisation_id& organisation, std::uint64_t request_hash,
                                   time_point now)
{
    constexpr auto range = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return static_cast<double>(mix_bits(request_hash)) / range < excess(organisation, now);
}

std::vector<organisation_use> organisation_usage::report(time_point now)
{
    age(now);
    std::vector<organisation_use> uses;
    if (!started_at_ || now - *started_at_ < min_report_time) {
        return uses;
    }
    for (const auto& [organisation, it] : records_) {
        uses.push_back(
            {organisation, static_cast<float>(it.mean.asked), static_cast<float>(it.mean.served)});
    }
    std::sort(uses.begin(), uses.end(),
              [](const auto& a, const auto& b) { return a.asked > b.asked; });
    uses.resize(std::min(uses.size(), max_reported_uses));
    return uses;
}

void organisation_usage::merge(const std::vector<organisation_use>& other, time_point now)
{
    for (const auto& it : other) {
        auto& mean = record_of(it.organisation, now).mean;
        mean.asked = mix(mean.asked, it.asked);
        mean.served = mix(mean.served, it.served);
    }
}

} // namespace endivelatch
