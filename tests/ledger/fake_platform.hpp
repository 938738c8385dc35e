#pragma once

#include "endivelatch/base/hash.hpp"
#include "endivelatch/base/overloaded.hpp"
#include "endivelatch/platform/object.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace endivelatch {

/// Faults of the fake platform. Fractions are probabilities per call.
struct platform_faults {
    double lost_requests = 0;       ///< Calls that do not arrive.
    double lost_answers = 0;        ///< Calls that take effect without an answer.
    double unreported_failures = 0; ///< Failed calls that get no answer at all.
    double stale_reads = 0; ///< Reads and watches, not lists, that return the previous version.
    bool down = false;
    bool ignore_versions = false; ///< Accept writes without checking the expected version.
    duration max_delay = std::chrono::milliseconds{5};
};

/// Fake of the platform's object API with one version counter, conditional updates, watches,
/// outages, lost answers and delays. Time and random seed come from the test.
class fake_platform {
public:
    using reply = std::function<void(time_point, platform_answer)>;
    using schedule = std::function<void(time_point, std::function<void(time_point)>)>;

    fake_platform(std::uint64_t seed, schedule schedule_at)
        : random_{seed}, schedule_{std::move(schedule_at)}
    {
    }

    platform_faults faults;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t lost = 0;
    std::uint64_t conflicts = 0;
    bool keeps_history = false;
    std::vector<platform_object> history; ///< Every stored version, if `keeps_history`.

    /// Carries out a call. `answer` is called later, or never if the call fails unreported.
    void call(const platform_call& request, time_point now, const reply& answer)
    {
        const bool loses_request = random_.fraction() < faults.lost_requests;
        const bool loses_answer = random_.fraction() < faults.lost_answers;
        const bool is_unreported = random_.fraction() < faults.unreported_failures;
        if (loses_request) {
            ++lost;
            fail(request, now + delay() + delay(), true, is_unreported, answer);
            return;
        }
        schedule_(now + delay(), [=, this](time_point then) {
            if (faults.down) {
                fail(request, then + delay(), random_.below(2) == 0, is_unreported, answer);
                return;
            }
            auto body = apply(request, then, answer);
            if (!body) {
                return;
            }
            if (loses_answer) {
                ++lost;
                fail(request, then + delay(), true, is_unreported, answer);
                return;
            }
            send(then + delay(), {id_of(request), *std::move(body)}, answer);
        });
    }

    /// Returns the current version of an object.
    std::optional<platform_object> stored(const std::string& name) const
    {
        const auto it = objects_.find(name);
        return it == objects_.end() ? std::nullopt : std::optional{it->second.current};
    }

    /// Returns the number of stored objects.
    std::size_t object_count() const { return objects_.size(); }

    /// Stores an object without a version check and returns its new version.
    object_version put(const std::string& name, const std::string& document, time_point now)
    {
        const auto previous = stored(name).value_or(platform_object{});
        last_version_ = last_version_.next();
        objects_.insert_or_assign(name, stored_object{{name, last_version_, document}, previous});
        if (keeps_history) {
            history.push_back({name, last_version_, document});
        }
        notify_watches(name, now);
        return last_version_;
    }

private:
    struct stored_object {
        platform_object current;
        platform_object previous;
    };
    struct pending_watch {
        watch_objects request;
        reply answer;
    };
    using answer_body = decltype(platform_answer::body);

    duration delay()
    {
        return duration{static_cast<std::int64_t>(
            1 + random_.below(static_cast<std::uint64_t>(faults.max_delay.count())))};
    }

    static platform_call_id id_of(const platform_call& request)
    {
        return std::visit([](const auto& call) { return call.call; }, request);
    }

    void send(time_point when, platform_answer answer, const reply& to)
    {
        schedule_(when, [answer = std::move(answer), to](time_point then) { to(then, answer); });
    }

    void fail(const platform_call& request, time_point when, bool may_have_taken_effect,
              bool is_unreported, const reply& to)
    {
        if (!is_unreported) {
            send(when, {id_of(request), platform_failed{may_have_taken_effect, "no answer"}}, to);
        }
    }

    std::optional<answer_body> apply(const platform_call& request, time_point now,
                                     const reply& answer)
    {
        return std::visit(
            overloaded{[&](const read_object& it) { return std::optional{read(it.name)}; },
                       [&](const list_objects& it) {
                           ++reads;
                           return std::optional{answer_body{found(it.prefix, {}, false)}};
                       },
                       [&](const write_object& it) {
                           ++writes;
                           return std::optional{write(it, now)};
                       },
                       [&](const delete_object& it) {
                           ++writes;
                           return std::optional{remove(it)};
                       },
                       [&](const watch_objects& it) { return watch(it, answer); }},
            request);
    }

    answer_body read(const std::string& name)
    {
        ++reads;
        const auto it = objects_.find(name);
        objects_found out{{}, last_version_};
        if (it == objects_.end()) {
            return out;
        }
        const bool is_stale = random_.fraction() < faults.stale_reads;
        const auto& object = is_stale ? it->second.previous : it->second.current;
        if (object.version != object_version{}) {
            out.objects.push_back(object);
        }
        return out;
    }

    objects_found found(const std::string& prefix, object_version after, bool may_be_stale)
    {
        objects_found out{{}, last_version_};
        const bool is_stale = may_be_stale && random_.fraction() < faults.stale_reads;
        for (auto it = objects_.lower_bound(prefix);
             it != objects_.end() && it->first.starts_with(prefix); ++it) {
            const auto& object = is_stale ? it->second.previous : it->second.current;
            if (object.version > after) {
                out.objects.push_back(object);
                out.store = is_stale ? object.version : out.store;
            }
        }
        return out;
    }

    answer_body write(const write_object& it, time_point now)
    {
        const auto current = stored(it.name).value_or(platform_object{}).version;
        if (current != it.expected && !faults.ignore_versions) {
            ++conflicts;
            return write_conflict{current};
        }
        return write_done{put(it.name, it.document, now)};
    }

    answer_body remove(const delete_object& it)
    {
        const auto current = stored(it.name).value_or(platform_object{}).version;
        if (current != it.expected) {
            ++conflicts;
            return write_conflict{current};
        }
        objects_.erase(it.name);
        last_version_ = last_version_.next();
        return write_done{last_version_};
    }

    std::optional<answer_body> watch(const watch_objects& it, const reply& answer)
    {
        ++reads;
        auto out = found(it.prefix, it.after, true);
        if (out.objects.empty()) {
            watches_.push_back({it, answer});
            return std::nullopt;
        }
        return answer_body{std::move(out)};
    }

    void notify_watches(const std::string& name, time_point now)
    {
        std::vector<pending_watch> remaining;
        for (auto& it : watches_) {
            if (!name.starts_with(it.request.prefix)) {
                remaining.push_back(std::move(it));
                continue;
            }
            send(now + delay(), {it.request.call, found(it.request.prefix, it.request.after, true)},
                 it.answer);
        }
        watches_ = std::move(remaining);
    }

    random_source random_;
    schedule schedule_;
    std::map<std::string, stored_object> objects_;
    std::vector<pending_watch> watches_;
    object_version last_version_;
};

} // namespace endivelatch
