#pragma once

#include "endivelatch/base/hash.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/routing/route.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

/// Generates the requests and target changes of a run, identical for every policy.
namespace endivelatch::model {

/// Parameters of a fleet and of its requests.
struct workload {
    std::uint64_t seed = 1;
    std::uint32_t targets = 20;
    std::uint32_t domains = 4;
    std::uint32_t routers = 8;
    std::uint32_t organisations = 10;
    duration length = std::chrono::minutes{40};
    double chats_per_second = 5;
    double turns_per_chat = 5;
    double pause_seconds = 240;   ///< Median pause between turns of a chat.
    double pause_spread = 0.8;    ///< Standard deviation of the logarithm of the pause.
    double first_tokens = 16'000; ///< Mean prompt length of a new chat.
    double turn_tokens = 800;     ///< Mean number of tokens added per turn.
    double decode_seconds = 18;   ///< Mean time to generate a response.
    std::uint64_t cache_tokens = 8'000'000;
    double prefill_rate = 20'000; ///< Tokens per second.
    double surge_factor = 1;      ///< Surge rate over normal rate; organisation 0 sends the excess.
    std::uint32_t shared_prefixes = 0; ///< Shared prefixes per organisation; zero for none.
    std::uint32_t shared_tokens = 0;   ///< Length of a shared prefix in tokens.
    duration churn_interval = std::chrono::minutes{1}; ///< Time between a departure and the return.
    bool flapping = false; ///< Whether target 0 repeatedly goes down and up.
    double hint_share = 1; ///< Fraction of chats whose callers send hints back.
};

/// One turn of a chat, sent as one request.
struct turn {
    time_point at;
    std::uint64_t chat = 0;        ///< Number of the chat.
    std::uint64_t prefix_hash = 0; ///< Hash that identifies the prefix of the chat.
    std::uint32_t organisation = 0;
    std::uint32_t number = 0; ///< Number of the turn within the chat, from 0.
    std::uint32_t prefix = 0; ///< Tokens from earlier turns.
    std::uint32_t added = 0;  ///< Tokens added by this turn.
    duration decode{};        ///< Time to generate the response.
    std::uint64_t shared = 0; ///< Shared prefix that the prompt starts with; zero for none.
};

/// A target that goes down, or comes back with an empty cache.
struct target_change {
    time_point at;
    std::uint32_t target = 0;
    bool up = false;
    bool planned = false; ///< Finishes its running requests before going down.
};

/// The external events of a run.
struct trace {
    std::vector<turn> turns;
    std::vector<target_change> changes;
};

inline double exponential(random_source& random, double mean)
{
    return -mean * std::log(1 - random.fraction());
}

inline double normal(random_source& random)
{
    constexpr double two_pi = 6.283185307179586;
    const double radius = std::sqrt(-2 * std::log(1 - random.fraction()));
    return radius * std::cos(two_pi * random.fraction());
}

inline duration seconds_of(double seconds)
{
    constexpr double micro = 1e6;
    return duration{static_cast<duration::rep>(seconds * micro)};
}

/// Returns a random organisation; the distribution favours low numbers, so that a few organisations
/// get most of the chats.
inline std::uint32_t pick_organisation(random_source& random, std::uint32_t organisations)
{
    const double u = random.fraction();
    return static_cast<std::uint32_t>(u * u * u * organisations);
}

inline void add_chat(trace& out, random_source& random, const workload& load, time_point start,
                     std::uint64_t chat, std::uint32_t organisation)
{
    time_point at = start;
    const auto prefix_hash = chat_prefix_hash(organisation_id{"o" + std::to_string(organisation)},
                                              chat_id{std::to_string(chat)});
    std::uint32_t tokens = 0;
    const auto shared = load.shared_prefixes == 0 ? 0
                                                  : 1 + organisation * load.shared_prefixes +
                                                        random.below(load.shared_prefixes);
    for (std::uint32_t number = 0;; ++number) {
        const double mean = number == 0 ? load.first_tokens : load.turn_tokens;
        const auto added = static_cast<std::uint32_t>(1 + exponential(random, mean));
        const auto decode = seconds_of(exponential(random, load.decode_seconds));
        out.turns.push_back(
            {at, chat, prefix_hash, organisation, number, tokens, added, decode, shared});
        tokens += added;
        const double pause = load.pause_seconds * std::exp(load.pause_spread * normal(random));
        at += seconds_of(pause);
        if (at > time_point{} + load.length || random.fraction() < 1 / load.turns_per_chat) {
            return;
        }
    }
}

inline void add_churn(trace& out, random_source& random, const workload& load)
{
    std::uint32_t departed = 0;
    bool is_leaving = true;
    if (load.churn_interval <= duration::zero()) {
        return;
    }
    const auto end = time_point{} + load.length;
    for (auto at = time_point{} + load.churn_interval; at < end; at += load.churn_interval) {
        if (is_leaving) {
            departed = 1 + static_cast<std::uint32_t>(random.below(load.targets - 1));
        }
        out.changes.push_back({at, departed, !is_leaving, is_leaving && random.below(2) == 0});
        is_leaving = !is_leaving;
    }
}

inline void add_flaps(trace& out, const workload& load)
{
    constexpr duration up_time = std::chrono::seconds{20};
    constexpr duration down_time = std::chrono::seconds{5};
    const auto end = time_point{} + load.length;
    for (auto at = time_point{} + up_time; at < end; at += up_time + down_time) {
        out.changes.push_back({at, 0, false, false});
        out.changes.push_back({at + down_time, 0, true, false});
    }
}

/// Generates the trace of a workload from its seed.
inline trace make_trace(const workload& load)
{
    trace out;
    random_source random{load.seed};
    std::uint64_t chat = 0;
    double at = 0;
    const double length = std::chrono::duration<double>(load.length).count();
    while (true) {
        const bool surge = load.surge_factor > 1 && at > length * 0.5 && at < length * 0.7;
        const double rate = load.chats_per_second * (surge ? load.surge_factor : 1);
        at += exponential(random, 1 / rate);
        if (at >= length) {
            break;
        }
        const bool in_surge = surge && random.fraction() < 1 - 1 / load.surge_factor;
        const auto organisation = in_surge ? 0 : pick_organisation(random, load.organisations);
        add_chat(out, random, load, time_point{} + seconds_of(at), ++chat, organisation);
    }
    add_churn(out, random, load);
    if (load.flapping) {
        add_flaps(out, load);
    }
    const auto earlier = [](const auto& a, const auto& b) { return a.at < b.at; };
    std::stable_sort(out.turns.begin(), out.turns.end(), earlier);
    std::stable_sort(out.changes.begin(), out.changes.end(), earlier);
    return out;
}

} // namespace endivelatch::model
