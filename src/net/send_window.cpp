#include "endivelatch/net/send_window.hpp"

#include <algorithm>
#include <utility>

namespace endivelatch {

bool send_window::push(std::string content)
{
    if (bytes_ + content.size() > max_bytes_) {
        return false;
    }
    bytes_ += content.size();
    frames_.push_back({++last_number_, std::move(content)});
    return true;
}

const send_window::frame* send_window::next()
{
    if (!has_unwritten()) {
        return nullptr;
    }
    const frame& it = frames_[unwritten_++];
    highest_written_ = std::max(highest_written_, it.number);
    return &it;
}

void send_window::acknowledge(std::uint64_t number)
{
    while (!frames_.empty() && frames_.front().number <= number) {
        bytes_ -= frames_.front().content.size();
        frames_.pop_front();
        unwritten_ -= unwritten_ > 0 ? 1 : 0;
    }
}

std::vector<lost_frame> send_window::drop_written()
{
    const auto is_unwritten = [this](const frame& it) { return it.number > highest_written_; };
    const auto first = std::find_if(frames_.begin(), frames_.end(), is_unwritten);
    return drop(static_cast<std::size_t>(first - frames_.begin()));
}

std::vector<lost_frame> send_window::drop_all()
{
    return drop(frames_.size());
}

std::vector<lost_frame> send_window::drop(std::size_t count)
{
    std::vector<lost_frame> lost;
    lost.reserve(count);
    for (; count > 0; --count) {
        frame& it = frames_.front();
        bytes_ -= it.content.size();
        lost.push_back({std::move(it.content), it.number <= highest_written_});
        frames_.pop_front();
    }
    unwritten_ = 0;
    return lost;
}

bool receive_window::accept(const router_id& from, incarnation run, std::uint64_t number)
{
    progress& known = senders_[from];
    if (run < known.run) {
        return false;
    }
    if (run > known.run) {
        known = {run, 0};
    }
    if (number <= known.highest) {
        return false;
    }
    known.highest = number;
    return true;
}

std::uint64_t receive_window::received(const router_id& from, incarnation run) const
{
    const auto it = senders_.find(from);
    return it == senders_.end() || it->second.run != run ? 0 : it->second.highest;
}

} // namespace endivelatch
