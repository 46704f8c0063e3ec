#ifndef SAMPHIRESAIL_APPS_TESTS_SUPPORT_RESPONSEHEADS_HPP
#define SAMPHIRESAIL_APPS_TESTS_SUPPORT_RESPONSEHEADS_HPP

#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

namespace samphiresail::testing {

/// Begin of a response's head: its status line and some of its fields.
struct HeadBegin
{
  std::string mWhat;
  std::string mStatusLine{ "HTTP/1.1 200 OK\r\n" };
  std::string mFields;
};

/// Heads whose status is none.
inline std::vector<HeadBegin> HeadsWithMalformedStatus()
{
  return { { "status 000", "HTTP/1.1 000 OK\r\n", "" },
           { "status 099", "HTTP/1.1 099 OK\r\n", "" },
           { "status 600", "HTTP/1.1 600 OK\r\n", "" },
           { "status 999", "HTTP/1.1 999 OK\r\n", "" },
           { "status of two digits", "HTTP/1.1 20 OK\r\n", "" },
           { "status of four digits", "HTTP/1.1 2000 OK\r\n", "" },
           { "status that is no number", "HTTP/1.1 2x0 OK\r\n", "" },
           { "control byte in the reason", "HTTP/1.1 200 O\x01K\r\n", "" },
           { "version 9.9", "HTTP/9.9 200 OK\r\n", "" } };
}

/// Heads with a field line that is none.
inline std::vector<HeadBegin> HeadsWithMalformedField()
{
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  using namespace std::string_literals;
  return { { "blank in a name", ok, "X Y: z\r\n" },
           { "blank before the colon", ok, "X : z\r\n" },
           { "tab before the colon", ok, "X\t: z\r\n" },
           { "blank before the first name", ok, " X: z\r\n" },
           { "control byte in a name", ok, "X\x01Y: z\r\n" },
           { "NUL in a name", ok, "X\0Y: z\r\n"s },
           { "DEL in a name", ok, "X\x7fY: z\r\n" },
           { "byte above 0x7F in a name", ok, "X\xe9Y: z\r\n" },
           { "delimiter in a name", ok, "X/Y: z\r\n" },
           { "empty name", ok, ": z\r\n" },
           { "no colon", ok, "XY\r\n" },
           { "control byte in a value", ok, "X: y\x01z\r\n" },
           { "NUL in a value", ok, "X: y\0z\r\n"s },
           { "bare CR in a value", ok, "X: y\rz\r\n" },
           { "bare LF in a value", ok, "X: y\nY: z\r\n" } };
}

/// All of these heads.
inline std::vector<HeadBegin> MalformedHeads()
{
  std::vector<HeadBegin> heads = HeadsWithMalformedStatus();
  std::ranges::move(HeadsWithMalformedField(), std::back_inserter(heads));
  return heads;
}

/// Heads that are sound, though few endpoints send them.
inline std::vector<HeadBegin> OddSoundHeads()
{
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  return { { "every character of a token", ok, "!#$%&'*+-.^_`|~09azAZ: z\r\n" },
           { "empty value", ok, "X:\r\n" },
           { "blank value", ok, "X: \t \r\n" },
           { "no blank before a value", ok, "X:z\r\n" },
           { "tab in a value", ok, "X: y\tz\r\n" },
           { "delimiters in a value", ok, "X: \"(),/:;<=>?@[\\]{}\r\n" },
           { "bytes above 0x7F in a value", ok, "X: \x80\xe9\xff\r\n" },
           { "a field twice", ok, "X: y\r\nX: z\r\n" },
           { "folded value", ok, "X: y\r\n z\r\n" },
           { "no reason phrase", "HTTP/1.1 200 \r\n", "" },
           { "bytes above 0x7F in the reason phrase", "HTTP/1.1 200 \x80\xff\r\n", "" },
           { "tab in the reason phrase", "HTTP/1.1 200 all\tright\r\n", "" },
           { "unknown status 299", "HTTP/1.1 299 X\r\n", "" } };
}

}

#endif
