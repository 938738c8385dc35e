#include "endivelatch/timeline/timeline_buffer.hpp"

#include <utility>

namespace endivelatch {

void timeline_buffer::add(std::string line)
{
    bytes_ += line.size();
    lines_.push_back(std::move(line));
    while (lines_.size() > max_entries_ || bytes_ > max_bytes_) {
        bytes_ -= lines_.front().size();
        lines_.pop_front();
        ++dropped_;
    }
}

std::string timeline_buffer::to_text() const
{
    std::string text;
    text.reserve(bytes_ + lines_.size());
    for (const auto& it : lines_) {
        text += it;
        text += '\n';
    }
    return text;
}

} // namespace endivelatch
