#include "components/httpclient/responsehead.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>

namespace samphiresail::httpclient {

namespace http = boost::beast::http;

namespace {

constexpr unsigned kHttp11 = 11;
constexpr unsigned kLowestStatus = 100;
constexpr unsigned kHighestStatus = 599;

constexpr std::array kGrammarErrors{ http::error::bad_line_ending,
                                     http::error::bad_version,
                                     http::error::bad_status,
                                     http::error::bad_reason,
                                     http::error::bad_field,
                                     http::error::bad_value,
                                     http::error::bad_obs_fold,
                                     http::error::bad_content_length,
                                     http::error::bad_transfer_encoding,
                                     http::error::bad_chunk,
                                     http::error::bad_chunk_extension };

std::string_view Trim(std::string_view aText)
{
  constexpr std::string_view kBlanks = " \t";
  const std::size_t first = std::min(aText.find_first_not_of(kBlanks), aText.size());
  return aText.substr(first, aText.find_last_not_of(kBlanks) + 1 - first);
}

/// Returns the number of codings that the value of a field lists, or none if one of them
/// is not chunked without a parameter.
std::optional<std::size_t> CountChunked(std::string_view aValue)
{
  std::size_t n = 0;
  while (!aValue.empty()) {
    const std::size_t comma = std::min(aValue.find(','), aValue.size());
    const std::string_view coding = Trim(aValue.substr(0, comma));
    aValue.remove_prefix(std::min(comma + 1, aValue.size()));
    if (!coding.empty() &&
        !boost::beast::iequals({ coding.data(), coding.size() }, "chunked")) {
      return std::nullopt;
    }
    n += coding.empty() ? 0 : 1;
  }
  return n;
}

bool HasKnownTransferCoding(const http::fields& aFields)
{
  const auto [first, last] = aFields.equal_range(http::field::transfer_encoding);
  std::size_t codings = 0;
  for (auto it = first; it != last; ++it) {
    const auto n = CountChunked({ it->value().data(), it->value().size() });
    if (!n) {
      return false;
    }
    codings += *n;
  }
  return first == last || codings == 1;
}

}

ErrorCode CheckResponseHead(const http::response_header<>& aHead)
{
  const unsigned status = aHead.result_int();
  if (status < kLowestStatus || status > kHighestStatus) {
    return http::error::bad_status;
  }
  if (!HasKnownTransferCoding(aHead)) {
    return http::error::bad_transfer_encoding;
  }
  return {};
}

bool HasUnambiguousEnd(const http::response_header<>& aHead)
{
  const bool isCoded = aHead.count(http::field::transfer_encoding) > 0;
  if (aHead.result() == http::status::no_content) {
    return !isCoded && aHead.count(http::field::content_length) == 0;
  }
  return aHead.version() >= kHttp11 || !isCoded;
}

bool IsMalformed(const ErrorCode& aEc)
{
  return std::ranges::any_of(kGrammarErrors,
                             [&](http::error aError) { return aEc == aError; });
}

}
