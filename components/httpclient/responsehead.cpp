#include "components/httpclient/responsehead.hpp"

#include <algorithm>
#include <array>

namespace samphiresail::httpclient {

namespace http = boost::beast::http;

namespace {

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

}

ErrorCode CheckResponseHead(const http::response_header<>& aHead)
{
  const unsigned status = aHead.result_int();
  if (status < kLowestStatus || status > kHighestStatus) {
    return http::error::bad_status;
  }
  return {};
}

bool IsMalformed(const ErrorCode& aEc)
{
  return std::ranges::any_of(kGrammarErrors,
                             [&](http::error aError) { return aEc == aError; });
}

}
