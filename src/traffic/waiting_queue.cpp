#include "endivelatch/traffic/waiting_queue.hpp"

namespace endivelatch {

void waiting_queue::add(const waiting_request& request)
{
    requests_[request.group].insert(request);
    by_latest_start_.emplace(request.latest_start, request.number);
    bytes_ += request.bytes;
    index_.emplace(request.number, request);
}

bool waiting_queue::can_come_up(const waiting_request& request, time_point now) const
{
    const auto pace = paces_.find(request.group);
    const auto group = requests_.find(request.group);
    if (pace == paces_.end() || group == requests_.end()) {
        return now < request.latest_start;
    }
    const auto wait = pace->second.expected_wait(group->second.size(), now);
    return now + wait - request.advance < request.latest_start;
}

std::optional<waiting_request> waiting_queue::take(exchange_number number)
{
    const auto it = index_.find(number);
    if (it == index_.end()) {
        return std::nullopt;
    }
    const auto request = it->second;
    index_.erase(it);
    by_latest_start_.erase({request.latest_start, number});
    bytes_ -= request.bytes;
    const auto group = requests_.find(request.group);
    group->second.erase(request);
    if (group->second.empty()) {
        requests_.erase(group);
    }
    return request;
}

void waiting_queue::release(exchange_number number, time_point now)
{
    if (const auto request = take(number)) {
        const auto others = requests_.find(request->group);
        paces_[request->group].record_release(others == requests_.end() ? 0 : others->second.size(),
                                              now);
    }
}

void waiting_queue::remove(exchange_number number)
{
    take(number);
}

std::vector<waiting_request> waiting_queue::take_refused(time_point now)
{
    std::vector<waiting_request> refused;
    const auto refuse = [&](exchange_number number) { refused.push_back(*take(number)); };
    while (!by_latest_start_.empty() && by_latest_start_.begin()->first <= now) {
        refuse(by_latest_start_.begin()->second);
    }
    const auto order = groups(now);
    for (auto group = order.rbegin(); group != order.rend(); ++group) {
        while (requests_.contains(*group) && (size() > max_requests || bytes_ > max_bytes)) {
            refuse(requests_.at(*group).rbegin()->number);
        }
    }
    return refused;
}

std::vector<yield_group> waiting_queue::groups(time_point now) const
{
    std::vector<yield_group> all;
    all.reserve(requests_.size());
    for (const auto& [group, it] : requests_) {
        all.push_back(group);
    }
    return shares_.in_order(std::move(all), now);
}

std::optional<exchange_number> waiting_queue::first(const yield_group& group) const
{
    const auto it = requests_.find(group);
    return it == requests_.end() ? std::nullopt : std::optional{it->second.begin()->number};
}

std::optional<time_point> waiting_queue::next_expiry() const
{
    return empty() ? std::nullopt : std::optional{by_latest_start_.begin()->first};
}

} // namespace endivelatch
