#include "AgreementSubsystem.h"

namespace damasklink {

AgreementSubsystem::AgreementSubsystem(const HostContext& aContext)
  : context(aContext)
  , module(aContext)
{
}

Result<void>
AgreementSubsystem::Start()
{
  this->context.control.Add(Channel::Agreement, this->module);
  return this->module.Open();
}

void
AgreementSubsystem::AddRoutes(const HostServers& /*aServers*/)
{
}

} // namespace damasklink
