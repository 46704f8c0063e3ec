#include <catch2/catch.hpp>

#include "components/transport/framecodec.hpp"

using namespace samphiresail;

TEST_CASE("frame codec keeps the body and drops what it does not know")
{
  wire::Envelope envelope;
  envelope.set_sender("entry-1");
  envelope.mutable_probe()->set_nonce(5);
  const std::string frame = transport::EncodeFrame(envelope);
  const auto read = transport::DecodeFrame(frame);
  REQUIRE(read);
  CHECK(read->sender() == "entry-1");
  CHECK(read->probe().nonce() == 5);

  CHECK_FALSE(transport::DecodeFrame("\xff\xff\xff"));
  CHECK_FALSE(transport::DecodeFrame(""));
  envelope.set_protocol(transport::kProtocol + 1);
  CHECK_FALSE(transport::DecodeFrame(envelope.SerializeAsString()));
}
