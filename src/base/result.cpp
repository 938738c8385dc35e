#include "endivelatch/base/result.hpp"

namespace endivelatch {

std::string to_string(const findings& all)
{
    std::string text;
    for (const auto& it : all) {
        if (!text.empty()) {
            text += '\n';
        }
        text += it.place + ": " + it.message;
    }
    return text;
}

} // namespace endivelatch
