#include "apps/samphiresail/entry/submitbuilder.hpp"

namespace samphiresail::entry {

namespace {

wire::RequestClass WireClass(catalogue::RequestClass aClass)
{
  switch (aClass) {
    case catalogue::RequestClass::Urgent:
      return wire::URGENT;
    case catalogue::RequestClass::Streamed:
      return wire::STREAMED;
    case catalogue::RequestClass::Short:
      return wire::SHORT;
    case catalogue::RequestClass::Irreversible:
      return wire::IRREVERSIBLE;
    case catalogue::RequestClass::Batch:
      break;
  }
  return wire::BATCH;
}

}

wire::Submit BuildSubmit(const CallerRequest& aRequest,
                         const ids::AttemptId& aAttempt,
                         units::Version aConfiguration)
{
  wire::Submit submit;
  submit.set_request_id(aRequest.mId.Str());
  submit.set_attempt_id(aAttempt.Str());
  submit.set_configuration_version(aConfiguration.Count());
  submit.set_client_account(aRequest.mAccount.Str());
  submit.set_account_weight(aRequest.mWeight);
  submit.set_request_class(WireClass(aRequest.mClass));
  submit.set_model(aRequest.mModel.Str());
  submit.set_service(aRequest.mService.Str());
  submit.set_method(aRequest.mMethod);
  submit.set_path(aRequest.mTarget);
  submit.set_content_type(aRequest.mContentType);
  submit.set_body(aRequest.mBody);
  submit.set_stream(aRequest.mStream);
  submit.set_prompt_tokens(static_cast<std::uint64_t>(aRequest.mPromptTokens.Count()));
  submit.set_max_output_tokens(static_cast<std::uint64_t>(aRequest.mMaxOutput.Count()));
  return submit;
}

}
